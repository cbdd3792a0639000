package loader

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Streams are the outputs of a program for settings and for faults.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Start loads the settings at the start of a program. It reports whether the
// program may proceed, and otherwise its exit code: after --help, --print or a
// fault.
func (l *Loader) Start(args []string, lookup func(string) (string, bool), streams Streams) (proceed bool, code int) {
	var printSettings bool
	AddPrint(l, &printSettings)
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
	if printSettings {
		if err := l.Print(streams.Out); err != nil {
			return false, 1
		}
		return false, 0
	}
	return true, 0
}

// AddPrint registers the setting --print. Start calls it; a later Load of the
// same arguments must call it as well.
func AddPrint(l *Loader, printSettings *bool) {
	Add(l, printSettings, "print", "false", Bool(), "print the effective settings and where each came from, then exit")
}

// loadAtStart is like Load but ignores a faulty settings file if the settings
// are valid without it. A running process ignores a faulty new file as well.
func (l *Loader) loadAtStart(args []string, lookup func(string) (string, bool), help io.Writer) ([]Fault, error) {
	faults, err := l.Load(args, lookup, help)
	if err != nil || len(faults) == 0 || l.file == "" {
		return faults, err
	}
	flags, err := l.parseFlags(args, help)
	if err != nil {
		return nil, err
	}
	if faultsWithoutFile := l.evaluate(flags, lookup, nil); len(faultsWithoutFile) > 0 {
		return faults, nil
	}
	for _, fault := range faults {
		l.notes = append(l.notes, "settings file is faulty and ignored: "+fault.String())
	}
	return nil, nil
}
