package commander

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"sycamorerun"
	"sycamorerun/api/gen/settings"
	"sycamorerun/ctl/printer"
	"sycamorerun/ctl/requester"
	"sycamorerun/parser"
	"sycamorerun/validator"
)

func (c *Commander) settingsCommands() []*cobra.Command {
	var wait bool
	var id string
	apply := &cobra.Command{
		Use: "apply FILE", Short: "Make a settings file the team's settings", GroupID: groupSettings,
		Long: `Make a settings file the team's settings.

The file is checked here and by the node, the difference is shown, and the
change is submitted. When an answer is lost, the outcome is queried by the
change's id until it is known or the time is up. A change of the team's
settings by someone else in the meantime is a conflict.`,
		Example: "  srctl apply quoting.yaml\n  srctl apply --wait --server 10.0.0.1:7070 --server 10.0.1.1:7070 quoting.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: c.run(func(ctx context.Context, _ *cobra.Command, args []string) error {
			return c.apply(ctx, args[0], id, wait)
		}),
	}
	waitFlag(apply, &wait)
	apply.Flags().StringVar(&id, "id", "", "`UUID` of the change, to repeat an interrupted one; new by default")

	validate := &cobra.Command{
		Use: "validate FILE...", Short: "Check settings files, offline unless --server is given", GroupID: groupSettings,
		Long: `Check settings files.

Without --server on the command line, each file is checked by itself; when the
administrators' file is among them, the files together are checked as a whole
tree. With --server, each file is also checked against the tree in force.`,
		Example: "  srctl validate quoting.yaml\n  srctl validate admin.yaml quoting.yaml\n  srctl validate --server 10.0.0.1:7070 quoting.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: c.run(func(ctx context.Context, command *cobra.Command, args []string) error {
			return c.validate(ctx, args, command.Flags().Changed("server"))
		}),
	}
	diff := &cobra.Command{
		Use: "diff FILE", Short: "Show what applying a settings file would change", GroupID: groupSettings,
		Example: "  srctl diff quoting.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: c.run(func(ctx context.Context, _ *cobra.Command, args []string) error {
			_, result, err := c.compare(ctx, args[0])
			if err != nil {
				return err
			}
			return c.print(result, func(w io.Writer) { c.differences(w, result) })
		}),
	}
	get := &cobra.Command{
		Use: "get [TEAM]", Short: "Print the settings in force as settings files", GroupID: groupSettings,
		Example: "  srctl get quoting > quoting.yaml\n  srctl get admin",
		Args:    cobra.MaximumNArgs(1),
		RunE:    c.run(c.get),
	}
	for _, command := range []*cobra.Command{apply, validate, diff} {
		command.ValidArgsFunction = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return []string{"yaml", "yml"}, cobra.ShellCompDirectiveFilterFileExt
		}
	}
	return []*cobra.Command{apply, validate, diff, get}
}

// fault is a fault and the file that has it.
type fault struct {
	File string
	sycamorerun.Fault
}

// refuse prints faults and ends with the code for refused settings.
func (c *Commander) refuse(faults []fault) error {
	err := c.print(map[string]any{"faults": faults}, func(w io.Writer) {
		for _, fault := range faults {
			place := fault.File
			if fault.Line > 0 {
				place += fmt.Sprintf(":%d", fault.Line)
			}
			if fault.Path != "" {
				place += ": " + fault.Path
			}
			fmt.Fprintf(w, "%s: %s (%s)\n", place, fault.Reason, fault.Code)
		}
	})
	if err != nil {
		return err
	}
	return &exit{code: ExitRefused}
}

func inFile(file string, found []sycamorerun.Fault) []fault {
	var faults []fault
	for _, one := range found {
		faults = append(faults, fault{file, one})
	}
	return faults
}

func fromAPI(found []*settings.Fault) []sycamorerun.Fault {
	var faults []sycamorerun.Fault
	for _, one := range found {
		converted := sycamorerun.Fault{Code: one.Code, Path: one.Path, Reason: one.Reason}
		if one.Line != nil {
			converted.Line = *one.Line
		}
		faults = append(faults, converted)
	}
	return faults
}

// parse reads and parses a settings file.
func (c *Commander) parse(file string) ([]byte, parser.Subtree, []sycamorerun.Fault, error) {
	text, err := c.readFile(file)
	if err != nil {
		return nil, parser.Subtree{}, nil, err
	}
	subtree, faults := parser.Parse(text)
	return text, subtree, faults, nil
}

// check asks a node to validate and compare a settings file.
func check(ctx context.Context, r *requester.Requester, team string, text []byte) (*settings.CheckResult, error) {
	return requester.Read(ctx, r, func(ctx context.Context, node *requester.Node) (*settings.CheckResult, error) {
		return node.Settings.Check(ctx, &settings.CheckPayload{Token: r.Authorization(), Team: team, Settings: string(text)})
	})
}

// proposed is a settings file that passed the checks.
type proposed struct {
	requester *requester.Requester
	team      string
	text      []byte
}

// compare checks a settings file here and at a node.
func (c *Commander) compare(ctx context.Context, file string) (proposed, *settings.CheckResult, error) {
	text, subtree, faults, err := c.parse(file)
	if err != nil {
		return proposed{}, nil, err
	}
	if len(faults) > 0 {
		return proposed{}, nil, c.refuse(inFile(file, faults))
	}
	r, err := c.requester()
	if err != nil {
		return proposed{}, nil, err
	}
	result, err := check(ctx, r, subtree.Team, text)
	if err != nil {
		return proposed{}, nil, err
	}
	if len(result.Faults) > 0 {
		return proposed{}, nil, c.refuse(inFile(file, fromAPI(result.Faults)))
	}
	return proposed{r, subtree.Team, text}, result, nil
}

func (c *Commander) differences(w io.Writer, result *settings.CheckResult) {
	if len(result.Differences) == 0 {
		fmt.Fprintf(w, "no difference from version %d\n", result.Version)
		return
	}
	fmt.Fprintf(w, "difference from version %d:\n", result.Version)
	printer.Differences(w, result.Differences)
}

func (c *Commander) apply(ctx context.Context, file, id string, wait bool) error {
	if id != "" && uuid.Validate(id) != nil {
		return usage(fmt.Errorf("--id %q is not a UUID", id))
	}
	proposed, result, err := c.compare(ctx, file)
	if err != nil {
		return err
	}
	if c.output == printer.Text {
		if err := c.print(nil, func(w io.Writer) { c.differences(w, result) }); err != nil {
			return err
		}
	}
	// A repeated change has taken effect, perhaps; its outcome still counts.
	if len(result.Differences) == 0 && id == "" {
		if c.output == printer.JSON {
			return c.print(result, nil)
		}
		return nil
	}
	settingsText := string(proposed.text)
	return c.change(ctx, proposed.requester, &settings.SubmitPayload{
		ID: id, Kind: string(sycamorerun.Apply), Team: proposed.team, Base: &result.Version, Settings: &settingsText,
	}, wait)
}

func (c *Commander) validate(ctx context.Context, files []string, online bool) error {
	tree := map[sycamorerun.Path]sycamorerun.Item{}
	owners := map[string]string{}
	texts := map[string][]byte{}
	var faults []fault
	for _, file := range files {
		text, subtree, found, err := c.parse(file)
		if err != nil {
			return err
		}
		if other, ok := owners[subtree.Team]; ok && len(found) == 0 {
			found = []sycamorerun.Fault{{Code: parser.CodeDuplicate, Path: "team", Reason: "the team has the file " + other + " already"}}
		}
		faults = append(faults, inFile(file, found)...)
		owners[subtree.Team] = file
		texts[subtree.Team] = text
		maps.Copy(tree, subtree.Items)
	}
	if _, whole := owners[sycamorerun.AdminTeam]; whole && len(faults) == 0 {
		for _, found := range validator.Check(tree) {
			faults = append(faults, fault{owners[sycamorerun.Path(found.Path).Team()], found})
		}
	}
	if online && len(faults) == 0 {
		found, err := c.checkAll(ctx, owners, texts)
		if err != nil {
			return err
		}
		faults = found
	}
	if len(faults) > 0 {
		return c.refuse(faults)
	}
	return c.print(map[string]any{"faults": []fault{}}, func(w io.Writer) {
		for _, file := range files {
			fmt.Fprintf(w, "%s: valid\n", file)
		}
	})
}

// checkAll checks each team's file at a node.
func (c *Commander) checkAll(ctx context.Context, owners map[string]string, texts map[string][]byte) ([]fault, error) {
	r, err := c.requester()
	if err != nil {
		return nil, err
	}
	var faults []fault
	for _, team := range slices.Sorted(maps.Keys(owners)) {
		result, err := check(ctx, r, team, texts[team])
		if err != nil {
			return nil, err
		}
		faults = append(faults, inFile(owners[team], fromAPI(result.Faults))...)
	}
	return faults, nil
}

// get prints the items in force as settings files, with the version as a
// comment.
func (c *Commander) get(ctx context.Context, _ *cobra.Command, args []string) error {
	r, err := c.requester()
	if err != nil {
		return err
	}
	payload := &settings.ReadPayload{Token: r.Authorization()}
	if len(args) > 0 {
		name, err := team(args[0])
		if err != nil {
			return err
		}
		payload.Team = &name
	}
	result, err := requester.Read(ctx, r, func(ctx context.Context, node *requester.Node) (*settings.ReadResult, error) {
		return node.Settings.Read(ctx, payload)
	})
	if err != nil {
		return err
	}
	var text string
	if c.output == printer.Text {
		if text, err = render(result, payload.Team); err != nil {
			return err
		}
	}
	return c.print(result, func(w io.Writer) { io.WriteString(w, text) })
}

func render(result *settings.ReadResult, only *string) (string, error) {
	teams := map[string]map[sycamorerun.Path]sycamorerun.Item{}
	if only != nil {
		teams[*only] = nil
	}
	for _, record := range result.Items {
		path := sycamorerun.Path(record.Path)
		if only != nil && path.Team() != *only {
			continue
		}
		if teams[path.Team()] == nil {
			teams[path.Team()] = map[sycamorerun.Path]sycamorerun.Item{}
		}
		teams[path.Team()][path] = sycamorerun.Item(record.Item)
	}
	text := fmt.Sprintf("# version %d\n", result.Version)
	for i, name := range slices.Sorted(maps.Keys(teams)) {
		file, err := parser.Render(name, teams[name])
		if err != nil {
			return "", err
		}
		if i > 0 {
			text += "---\n"
		}
		text += string(file)
	}
	return text, nil
}
