// Command srctl is not built yet.
package main

func main() {}
