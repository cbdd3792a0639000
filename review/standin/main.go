package main

import "os"

// cases are the cases by the name that run.sh passes.
var cases = map[string]func(*lab){
	"late-heartbeat": lateHeartbeat,
	"other-writer":   otherWriter,
	"path":           path,
	"changed-path":   changedPath,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: standin CASE RECORD")
	}
	cases[os.Args[1]](newLab(os.Args[2]))
}
