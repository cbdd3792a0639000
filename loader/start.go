package loader

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Streams are where a program prints its settings and its faults.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Start loads the settings for a program that is starting. It reports whether
// the program goes on, and its exit code when it does not: after --help,
// --print or a fault.
func (l *Loader) Start(args []string, lookup func(string) (string, bool), streams Streams) (proceed bool, code int) {
	var show bool
	Add(l, &show, "print", "false", Bool(), "print the effective settings and where each came from, then exit")
	faults, err := l.Load(args, lookup, streams.Err)
	if errors.Is(err, ErrHelp) {
		return false, 0
	}
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return false, ExitUsage
	}
	for _, fault := range faults {
		fmt.Fprintln(streams.Err, fault)
	}
	if len(faults) > 0 {
		return false, ExitUsage
	}
	if show {
		if err := l.Print(streams.Out); err != nil {
			return false, 1
		}
		return false, 0
	}
	return true, 0
}
