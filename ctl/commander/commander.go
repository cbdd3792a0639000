// Package commander implements the commands of srctl.
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

// maxTokenFileBytes limits how much of a token file is read. A token file holds
// a single line.
const maxTokenFileBytes = 4096

// Commander parses and runs one srctl command line.
type Commander struct {
	In       io.Reader
	Out, Err io.Writer
	// Terminal means that Err is a terminal, on which progress is shown.
	Terminal bool
	// Getenv returns the value of an environment variable, as os.Getenv does.
	Getenv func(string) string
	Now    func() time.Time
	// PollInterval is the delay between repeated queries of the same state. Zero
	// means the requester's default.
	PollInterval time.Duration

	servers                  []string
	token, tokenFile, output string
	timeout                  time.Duration
	// started is set when a command's body starts. Errors before that are usage
	// errors.
	started bool
}

// IDs of the command groups in the help text.
const (
	groupSettings = "settings"
	groupReview   = "review"
	groupFleet    = "fleet"
	groupLocal    = "local"
)

// Execute runs the command line in args and returns the exit code.
func (c *Commander) Execute(ctx context.Context, args []string) int {
	root := c.Root()
	root.SetArgs(args)
	root.SetIn(c.In)
	root.SetOut(c.Out)
	root.SetErr(c.Err)
	err := root.ExecuteContext(ctx)
	if err != nil && !c.started {
		err = usageError(err)
	}
	return c.report(err)
}

// Root returns the root command with all of its subcommands.
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
	registerCompletion(root, "output", printer.Text, printer.JSON)
	root.AddCommand(c.settingsCommands()...)
	root.AddCommand(c.changeCommands()...)
	root.AddCommand(c.reviewCommands()...)
	root.AddCommand(c.fleetCommands()...)
	root.AddCommand(c.localCommands()...)
	return root
}

// registerCompletion sets the values that shell completion offers for a flag.
func registerCompletion(command *cobra.Command, flag string, values ...string) {
	if err := command.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp)); err != nil {
		panic(err)
	}
}

// runE adapts a command's body to cobra: it loads and checks the global flags and
// limits the run time to --timeout.
func (c *Commander) runE(body func(ctx context.Context, command *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		if err := c.loadGlobalFlags(command.Flags()); err != nil {
			return err
		}
		c.started = true
		ctx, cancel := context.WithTimeout(command.Context(), c.timeout)
		defer cancel()
		return body(ctx, command, args)
	}
}

// loadGlobalFlags reads global flags that are not on the command line from the
// environment, checks them and reads the token file. A token flag on the command
// line overrides both token variables.
func (c *Commander) loadGlobalFlags(flags *pflag.FlagSet) error {
	tokenFlagGiven := flags.Changed("token") || flags.Changed("token-file")
	for _, name := range []string{"server", "token", "token-file", "output", "timeout"} {
		value := c.Getenv("SYCAMORERUN_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
		if flag := flags.Lookup(name); flag.Changed || value == "" || (tokenFlagGiven && strings.HasPrefix(name, "token")) {
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
		data, err := io.ReadAll(io.LimitReader(file, maxTokenFileBytes))
		if err != nil {
			return errors.Wrap(err, "token file")
		}
		if c.token = strings.TrimSpace(string(data)); c.token == "" {
			return errors.New("the token file is empty")
		}
	}
	// The message must not contain the token.
	if strings.ContainsFunc(c.token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return errors.New("the token has characters other than visible ASCII")
	}
	return nil
}

// newRequester returns a client of the nodes. Each attempt gets only a share of
// --timeout, so that a node that does not respond leaves time for the others.
func (c *Commander) newRequester() (*requester.Requester, error) {
	r, err := requester.New(c.servers)
	if err != nil {
		return nil, usageError(err)
	}
	r.Token = c.token
	r.AttemptTimeout = c.timeout / time.Duration(len(c.servers)+1)
	if c.PollInterval > 0 {
		r.PollInterval = c.PollInterval
	}
	return r, nil
}

func (c *Commander) print(value any, text func(io.Writer)) error {
	return printer.Printer{Out: c.Out, Format: c.output}.Print(value, text)
}

// readFile reads a settings file, or standard input when name is "-".
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
	// One byte beyond the limit lets the parser detect that the text is too long.
	text, err := io.ReadAll(io.LimitReader(reader, parser.MaxTextBytes+1))
	return text, errors.Wrap(err, "settings file")
}

// parseTeam validates an argument that names a team.
func parseTeam(name string) (string, error) {
	if !parser.ValidName(name) {
		return "", usageError(errors.Errorf("team %q is not 1 to 63 characters of a-z0-9-", name))
	}
	return name, nil
}

// newParentCommand returns a command that only groups subcommands.
func newParentCommand(use, short, group string, children ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{
		Use: use, Short: short, GroupID: group, Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(children...)
	return command
}
