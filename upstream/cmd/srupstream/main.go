// Command srupstream is not built yet.
package main

func main() {}
