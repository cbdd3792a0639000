// Package commander has the commands of srctl.
package commander

import (
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sycamorerun/ctl/printer"
	"sycamorerun/ctl/requester"
	"sycamorerun/parser"
)

// Defaults of the global flags.
const (
	defaultServer  = "127.0.0.1:7070"
	defaultTimeout = 30 * time.Second
)

// tokenFileBytes bounds a token file, which has one line.
const tokenFileBytes = 4096

// Commander runs one command line.
type Commander struct {
	In       io.Reader
	Out, Err io.Writer
	// Terminal says that Err shows progress to a person.
	Terminal bool
	// Environment returns an environment variable.
	Environment func(string) string
	Now         func() time.Time
	// Interval is the pause between queries of the same state; zero means the
	// requester's.
	Interval time.Duration

	servers                  []string
	token, tokenFile, output string
	timeout                  time.Duration
	// started separates wrong usage, which is found before a command starts,
	// from other errors.
	started bool
}

// Groups of commands.
const (
	groupSettings = "settings"
	groupReview   = "review"
	groupFleet    = "fleet"
	groupLocal    = "local"
)

// Execute runs the command that args name and returns its exit code.
func (c *Commander) Execute(ctx context.Context, args []string) int {
	root := c.Root()
	root.SetArgs(args)
	root.SetIn(c.In)
	root.SetOut(c.Out)
	root.SetErr(c.Err)
	err := root.ExecuteContext(ctx)
	if err != nil && !c.started {
		err = usage(err)
	}
	return c.report(err)
}

// Root returns the tree of commands.
func (c *Commander) Root() *cobra.Command {
	root := &cobra.Command{
		Use:   "srctl",
		Short: "Change and observe the settings of a sycamorerun fleet",
		Long: `Change and observe the settings of a sycamorerun fleet.

Every flag below "Global Flags" is also an environment variable, such as
SYCAMORERUN_TOKEN for --token. The exit codes are:
  0 success                     5 the change waits for review
  1 another error               6 the outcome of the change is unknown
  2 wrong usage                 7 no node can be reached
  3 refused or invalid          8 the fleet did not converge in time
  4 conflict                    9 not authorized`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddGroup(
		&cobra.Group{ID: groupSettings, Title: "Settings:"},
		&cobra.Group{ID: groupReview, Title: "Review:"},
		&cobra.Group{ID: groupFleet, Title: "Fleet:"},
		&cobra.Group{ID: groupLocal, Title: "Local:"},
	)
	root.SetHelpCommandGroupID(groupLocal)
	root.SetCompletionCommandGroupID(groupLocal)
	flags := root.PersistentFlags()
	flags.StringSliceVar(&c.servers, "server", []string{defaultServer}, "node's API, `HOST:PORT` or URL; repeat it to name nodes to fall back to")
	flags.StringVar(&c.token, "token", "", "operator's token; prefer the variable or the file, since other users can see arguments")
	flags.StringVar(&c.tokenFile, "token-file", "", "`FILE` with the operator's token")
	flags.StringVarP(&c.output, "output", "o", printer.Text, "output `FORMAT`: text or json")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "bound on the whole command")
	complete(root, "output", printer.Text, printer.JSON)
	root.AddCommand(c.settingsCommands()...)
	root.AddCommand(c.changeCommands()...)
	root.AddCommand(c.reviewCommands()...)
	root.AddCommand(c.fleetCommands()...)
	root.AddCommand(c.localCommands()...)
	return root
}

// complete offers fixed values for a flag.
func complete(command *cobra.Command, flag string, values ...string) {
	if err := command.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp)); err != nil {
		panic(err)
	}
}

// run adapts a command's body: it reads the environment, checks the global
// flags and bounds the time.
func (c *Commander) run(body func(ctx context.Context, command *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		if err := c.load(command.Flags()); err != nil {
			return err
		}
		c.started = true
		ctx, cancel := context.WithTimeout(command.Context(), c.timeout)
		defer cancel()
		return body(ctx, command, args)
	}
}

// load sets the global flags that are absent from the environment and reads
// the token file.
func (c *Commander) load(flags *pflag.FlagSet) error {
	given := flags.Changed("token") || flags.Changed("token-file")
	for _, name := range []string{"server", "token", "token-file", "output", "timeout"} {
		value := c.Environment("SYCAMORERUN_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
		if flag := flags.Lookup(name); flag.Changed || value == "" || (given && strings.HasPrefix(name, "token")) {
			continue
		} else if err := flag.Value.Set(value); err != nil {
			return errors.Errorf("environment variable of --%s: %s", name, err)
		}
	}
	if !slices.Contains([]string{printer.Text, printer.JSON}, c.output) {
		return errors.Errorf("--output is %q, want text or json", c.output)
	}
	if c.timeout <= 0 {
		return errors.Errorf("--timeout is %s, want more than 0", c.timeout)
	}
	return c.loadToken()
}

func (c *Commander) loadToken() error {
	if c.token != "" && c.tokenFile != "" {
		return errors.New("--token and --token-file exclude each other")
	}
	if c.tokenFile != "" {
		file, err := os.Open(c.tokenFile)
		if err != nil {
			return errors.Wrap(err, "token file")
		}
		defer file.Close()
		data, err := io.ReadAll(io.LimitReader(file, tokenFileBytes))
		if err != nil {
			return errors.Wrap(err, "token file")
		}
		if c.token = strings.TrimSpace(string(data)); c.token == "" {
			return errors.New("the token file is empty")
		}
	}
	// The message leaves the token out.
	if strings.ContainsFunc(c.token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return errors.New("the token has characters other than visible ASCII")
	}
	return nil
}

// requester returns the client of the nodes. A silent node gets only a part
// of the time, so that the others can still be asked.
func (c *Commander) requester() (*requester.Requester, error) {
	r, err := requester.New(c.servers)
	if err != nil {
		return nil, usage(err)
	}
	r.Token = c.token
	r.Attempt = c.timeout / time.Duration(len(c.servers)+1)
	if c.Interval > 0 {
		r.Interval = c.Interval
	}
	return r, nil
}

func (c *Commander) print(value any, text func(io.Writer)) error {
	return printer.Printer{Out: c.Out, Format: c.output}.Print(value, text)
}

// readFile reads a settings file, or the standard input for "-".
func (c *Commander) readFile(name string) ([]byte, error) {
	reader := c.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "settings file")
		}
		defer file.Close()
		reader = file
	}
	// One byte more lets the parser see that the text is too long.
	text, err := io.ReadAll(io.LimitReader(reader, parser.MaxTextBytes+1))
	return text, errors.Wrap(err, "settings file")
}

// team checks an argument that names a team.
func team(name string) (string, error) {
	if !parser.ValidName(name) {
		return "", usage(errors.Errorf("team %q is not 1 to 63 characters of a-z0-9-", name))
	}
	return name, nil
}

// parent is a command that only has subcommands.
func parent(use, short, group string, children ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{
		Use: use, Short: short, GroupID: group, Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(children...)
	return command
}
