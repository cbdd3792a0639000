// Command srstore is not built yet.
package main

func main() {}
