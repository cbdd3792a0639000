// Package loader loads a process's settings from flags, environment variables
// and a settings file, and validates them together.
package loader

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

// ExitUsage is the exit code of a process whose settings are invalid.
const ExitUsage = 2

// ErrHelp means that help was requested and has been printed.
var ErrHelp = errors.New("help requested")

// Source is the origin of a setting's value.
type Source string

// Sources in ascending order of precedence.
const (
	SourceDefault     Source = "default"
	SourceFile        Source = "file"
	SourceEnvironment Source = "environment"
	SourceFlag        Source = "flag"
)

// Fault describes an invalid setting and its allowed values.
type Fault struct {
	Name    string
	Value   string
	Allowed string
	Source  Source
}

// String formats f as a single line.
func (f Fault) String() string {
	return fmt.Sprintf("--%s=%q (%s): allowed: %s", f.Name, f.Value, f.Source, f.Allowed)
}

// setting is a registered setting.
type setting struct {
	name    string
	usage   string
	allowed string
	secret  bool
	// reloadable means that a change takes effect without a restart.
	reloadable  bool
	defaultText string
	text        string
	source      Source
	parse       func(text string) error
}

// Option configures a setting in Add.
type Option func(s *setting)

// Reloadable is an Option for a setting whose changes take effect in the running
// process. Changes of other settings take effect after a restart.
func Reloadable(s *setting) { s.reloadable = true }

// Loader loads and holds the settings of a program.
type Loader struct {
	program  string
	settings []*setting
	checks   []func() []Fault
	// file is the path of the settings file, empty if there is none.
	file  string
	notes []string
}

// New returns a Loader for the program. Environment variables have the prefix
// SYCAMORERUN_.
func New(program string) *Loader { return &Loader{program: program} }

// Add registers a setting whose value is parsed by kind and stored in target.
func Add[T any](l *Loader, target *T, name, defaultText string, kind Kind[T], usage string, options ...Option) {
	added := &setting{
		name: name, usage: usage, allowed: kind.Allowed, secret: kind.Secret,
		defaultText: defaultText, text: defaultText, source: SourceDefault,
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

// Check registers a check across settings. It runs only if each single setting
// is valid.
func (l *Loader) Check(check func() []Fault) { l.checks = append(l.checks, check) }

// Load reads flags from args, environment variables from lookup, and the
// settings file, and returns all faults. If args request help, it writes the
// usage to help and returns ErrHelp.
func (l *Loader) Load(args []string, lookup func(string) (string, bool), help io.Writer) ([]Fault, error) {
	flags, err := l.parseFlags(args, help)
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

// parseFlags parses args with a flag for each setting.
func (l *Loader) parseFlags(args []string, help io.Writer) (*pflag.FlagSet, error) {
	flags := pflag.NewFlagSet(l.program, pflag.ContinueOnError)
	flags.SetOutput(help)
	flags.SortFlags = false
	for _, s := range l.settings {
		usage := fmt.Sprintf("%s; %s (%s)", s.usage, s.allowed, environmentName(s.name))
		flags.String(s.name, s.defaultText, usage)
		if s.defaultText == "false" {
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

// evaluate sets each setting from its source of highest precedence. If all are
// valid, it runs the registered checks.
func (l *Loader) evaluate(flags *pflag.FlagSet, lookup func(string) (string, bool), file map[string]string) []Fault {
	var faults []Fault
	for _, s := range l.settings {
		s.text, s.source = s.defaultText, SourceDefault
		if text, ok := file[s.name]; ok {
			s.text, s.source = text, SourceFile
		}
		if text, ok := lookup(environmentName(s.name)); ok {
			s.text, s.source = text, SourceEnvironment
		}
		if flags.Changed(s.name) {
			s.text, s.source = flags.Lookup(s.name).Value.String(), SourceFlag
		}
		if err := s.parse(s.text); err != nil {
			faults = append(faults, Fault{s.name, s.displayValue(), s.allowed, s.source})
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

// Print writes the effective settings and their sources to w.
func (l *Loader) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tVALUE\tSOURCE\tCHANGES")
	for _, s := range l.settings {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", s.name, s.displayValue(), s.source, s.takesEffect())
	}
	return errors.Wrap(table.Flush(), "print settings")
}

// takesEffect returns when a change takes effect: in the running process or at
// the next start.
func (s *setting) takesEffect() string {
	if s.reloadable {
		return "running"
	}
	return "start"
}

func (s *setting) displayValue() string {
	if s.secret && s.text != "" {
		return "(hidden)"
	}
	return s.text
}

func environmentName(name string) string {
	return "SYCAMORERUN_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
