// Command srbench is not built yet.
package main

func main() {}
