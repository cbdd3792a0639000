// Package loader reads a process's settings from flags and environment
// variables of the same names and checks them as a whole.
package loader

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

// ExitUsage is the exit code of a process whose settings are faulty.
const ExitUsage = 2

// ErrHelp means that the user asked for help, which was printed.
var ErrHelp = errors.New("help requested")

// Source says where a setting's value came from.
type Source string

// Sources of values, the later ones taking precedence.
const (
	SourceDefault     Source = "default"
	SourceFile        Source = "file"
	SourceEnvironment Source = "environment"
	SourceFlag        Source = "flag"
)

// Fault is one faulty setting: its name, its value and what is allowed.
type Fault struct {
	Name    string
	Value   string
	Allowed string
	Source  Source
}

// String formats f as one line.
func (f Fault) String() string {
	return fmt.Sprintf("--%s=%q (%s): allowed: %s", f.Name, f.Value, f.Source, f.Allowed)
}

// Setting is one registered setting.
type setting struct {
	name    string
	usage   string
	allowed string
	secret  bool
	// reloadable says that a change takes effect in a running process.
	reloadable bool
	fallback   string
	text       string
	source     Source
	parse      func(text string) error
}

// Option changes a setting that is added.
type Option func(s *setting)

// Reloadable says that a change of the setting takes effect in a running
// process. Others take effect at its next start.
func Reloadable(s *setting) { s.reloadable = true }

// Loader holds the settings of one program.
type Loader struct {
	program  string
	settings []*setting
	checks   []func() []Fault
	// file is the path of the settings file, empty without one.
	file  string
	notes []string
}

// New returns a Loader for the program; environment variables have the prefix
// SYCAMORERUN_.
func New(program string) *Loader { return &Loader{program: program} }

// Add registers a setting that is parsed by kind into target.
func Add[T any](l *Loader, target *T, name, fallback string, kind Kind[T], usage string, options ...Option) {
	added := &setting{
		name: name, usage: usage, allowed: kind.Allowed, secret: kind.Secret,
		fallback: fallback, text: fallback, source: SourceDefault,
		parse: func(text string) error {
			value, err := kind.Parse(text)
			if err == nil {
				*target = value
			}
			return err
		},
	}
	for _, option := range options {
		option(added)
	}
	l.settings = append(l.settings, added)
}

// Check registers a check over several settings, run when each one is valid.
func (l *Loader) Check(check func() []Fault) { l.checks = append(l.checks, check) }

// Load reads flags from args, variables from lookup and the settings file, and
// returns every fault. It returns ErrHelp after printing the usage to help.
func (l *Loader) Load(args []string, lookup func(string) (string, bool), help io.Writer) ([]Fault, error) {
	flags, err := l.parse(args, help)
	if err != nil {
		return nil, err
	}
	content, err := l.readFile(flags, lookup)
	if err != nil {
		return nil, err
	}
	l.notes = append(l.notes, content.notes...)
	return append(content.faults, l.evaluate(flags, lookup, content.values)...), nil
}

// parse reads the flags.
func (l *Loader) parse(args []string, help io.Writer) (*pflag.FlagSet, error) {
	flags := pflag.NewFlagSet(l.program, pflag.ContinueOnError)
	flags.SetOutput(help)
	flags.SortFlags = false
	for _, s := range l.settings {
		usage := fmt.Sprintf("%s; %s (%s)", s.usage, s.allowed, variable(s.name))
		flags.String(s.name, s.fallback, usage)
		if s.fallback == "false" {
			flags.Lookup(s.name).NoOptDefVal = "true"
		}
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return nil, ErrHelp
		}
		return nil, err
	}
	if flags.NArg() > 0 {
		return nil, errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	return flags, nil
}

// evaluate sets every setting from the source that takes precedence.
func (l *Loader) evaluate(flags *pflag.FlagSet, lookup func(string) (string, bool), file map[string]string) []Fault {
	var faults []Fault
	for _, s := range l.settings {
		s.text, s.source = s.fallback, SourceDefault
		if text, ok := file[s.name]; ok {
			s.text, s.source = text, SourceFile
		}
		if text, ok := lookup(variable(s.name)); ok {
			s.text, s.source = text, SourceEnvironment
		}
		if flags.Changed(s.name) {
			s.text, s.source = flags.Lookup(s.name).Value.String(), SourceFlag
		}
		if err := s.parse(s.text); err != nil {
			faults = append(faults, Fault{s.name, s.shown(), s.allowed, s.source})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	for _, check := range l.checks {
		faults = append(faults, check()...)
	}
	return faults
}

// Print writes the effective settings and where each came from.
func (l *Loader) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tVALUE\tSOURCE\tCHANGES")
	for _, s := range l.settings {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", s.name, s.shown(), s.source, s.changes())
	}
	return errors.Wrap(table.Flush(), "print settings")
}

// changes says when a change takes effect.
func (s *setting) changes() string {
	if s.reloadable {
		return "running"
	}
	return "start"
}

func (s *setting) shown() string {
	if s.secret && s.text != "" {
		return "(hidden)"
	}
	return s.text
}

func variable(name string) string {
	return "SYCAMORERUN_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
