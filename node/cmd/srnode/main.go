// Command srnode is not built yet.
package main

func main() {}
