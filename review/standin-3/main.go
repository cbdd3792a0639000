// Command standin3 plays the scripted cases of the third review against processes of the
// deploy file. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by number. Each returns what broke the rule, or nothing.
var cases = map[string]func(c *setup) []string{
	"11": resentUpload,
}

// setup is what each case starts from.
type setup struct {
	record  *record
	fleet   *fleet
	store   *store
	trouble bool
}

func main() {
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(number, path string) (code int) {
	rec := newRecord(path)
	f := newFleet(rec)
	defer f.stop()
	defer func() {
		if reason := recover(); reason != nil {
			rec.logf("the case could not run: %v", reason)
			fmt.Println("could not run:", reason)
			code = 2
		}
	}()
	broken := cases[number](&setup{rec, f, newStore(rec), os.Getenv("TROUBLE") != "0"})
	for _, line := range broken {
		rec.logf("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.logf("the rule held")
	fmt.Println("held")
	return 0
}
