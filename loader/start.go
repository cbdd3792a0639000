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
	AddPrint(l, &show)
	faults, err := l.loadAtStart(args, lookup, streams.Err)
	if errors.Is(err, ErrHelp) {
		return false, 0
	}
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return false, ExitUsage
	}
	for _, note := range l.notes {
		fmt.Fprintln(streams.Err, note)
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

// AddPrint registers the setting that Start adds by itself. A Load of the same
// arguments needs it too.
func AddPrint(l *Loader, show *bool) {
	Add(l, show, "print", "false", Bool(), "print the effective settings and where each came from, then exit")
}

// loadAtStart is Load, but for a faulty settings file: a process that would run
// without the file starts without it, as a running one goes on without a new
// file that is faulty.
func (l *Loader) loadAtStart(args []string, lookup func(string) (string, bool), help io.Writer) ([]Fault, error) {
	faults, err := l.Load(args, lookup, help)
	if err != nil || len(faults) == 0 || l.file == "" {
		return faults, err
	}
	flags, err := l.parse(args, help)
	if err != nil {
		return nil, err
	}
	if rest := l.evaluate(flags, lookup, nil); len(rest) > 0 {
		return faults, nil
	}
	for _, fault := range faults {
		l.notes = append(l.notes, "settings file is faulty and ignored: "+fault.String())
	}
	return nil, nil
}
