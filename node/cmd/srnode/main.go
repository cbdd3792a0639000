// Command srnode is the node process beside an upstream instance.
package main

import "sycamorerun/node/runner"

func main() { runner.Main("srnode", nil) }
