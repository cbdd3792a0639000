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
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			return c.apply(ctx, args[0], id, wait)
		}),
	}
	addWaitFlag(apply, &wait)
	apply.Flags().StringVar(&id, "id", "", "`UUID` of the change, to repeat an interrupted one; new by default")

	validate := &cobra.Command{
		Use: "validate FILE...", Short: "Check settings files, offline unless --server is given", GroupID: groupSettings,
		Long: `Check settings files.

Without --server on the command line, each file is checked by itself; when the
administrators' file is among them, the files together are checked as a whole
tree. With --server, each file is also checked against the tree in force.`,
		Example: "  srctl validate quoting.yaml\n  srctl validate admin.yaml quoting.yaml\n  srctl validate --server 10.0.0.1:7070 quoting.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: c.runE(func(ctx context.Context, command *cobra.Command, args []string) error {
			return c.validate(ctx, args, command.Flags().Changed("server"))
		}),
	}
	diff := &cobra.Command{
		Use: "diff FILE", Short: "Show what applying a settings file would change", GroupID: groupSettings,
		Example: "  srctl diff quoting.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			_, result, err := c.checkFile(ctx, args[0])
			if err != nil {
				return err
			}
			return c.print(result, func(w io.Writer) { c.writeDifferences(w, result) })
		}),
	}
	get := &cobra.Command{
		Use: "get [TEAM]", Short: "Print the settings in force as settings files", GroupID: groupSettings,
		Example: "  srctl get quoting > quoting.yaml\n  srctl get admin",
		Args:    cobra.MaximumNArgs(1),
		RunE:    c.runE(c.get),
	}
	for _, command := range []*cobra.Command{apply, validate, diff} {
		command.ValidArgsFunction = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return []string{"yaml", "yml"}, cobra.ShellCompDirectiveFilterFileExt
		}
	}
	return []*cobra.Command{apply, validate, diff, get}
}

// fileFault is a fault with the settings file that contains it. Its field names are
// keys of the JSON output.
type fileFault struct {
	File string
	sycamorerun.Fault
}

// reportFaults prints faults and returns an exitError for refused settings.
func (c *Commander) reportFaults(faults []fileFault) error {
	err := c.print(map[string]any{"faults": faults}, func(w io.Writer) {
		for _, fault := range faults {
			location := fault.File
			if fault.Line > 0 {
				location += fmt.Sprintf(":%d", fault.Line)
			}
			if fault.Path != "" {
				location += ": " + fault.Path
			}
			fmt.Fprintf(w, "%s: %s (%s)\n", location, fault.Reason, fault.Code)
		}
	})
	if err != nil {
		return err
	}
	return &exitError{code: ExitRefused}
}

func faultsInFile(file string, found []sycamorerun.Fault) []fileFault {
	var faults []fileFault
	for _, fault := range found {
		faults = append(faults, fileFault{file, fault})
	}
	return faults
}

func faultsFromAPI(apiFaults []*settings.Fault) []sycamorerun.Fault {
	var faults []sycamorerun.Fault
	for _, apiFault := range apiFaults {
		converted := sycamorerun.Fault{Code: apiFault.Code, Path: apiFault.Path, Reason: apiFault.Reason}
		if apiFault.Line != nil {
			converted.Line = *apiFault.Line
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

// checkAtNode has a node validate a settings file and compare it with the tree in
// force.
func checkAtNode(ctx context.Context, r *requester.Requester, team string, text []byte) (*settings.CheckResult, error) {
	return requester.Read(ctx, r, func(ctx context.Context, node *requester.Node) (*settings.CheckResult, error) {
		return node.Settings.Check(ctx, &settings.CheckPayload{Token: r.Authorization(), Team: team, Settings: string(text)})
	})
}

// checkedFile is a settings file that passed the local checks and the node's, with
// the client to submit it.
type checkedFile struct {
	requester *requester.Requester
	team      string
	text      []byte
}

// checkFile checks a settings file locally and at a node. It prints the faults of a
// file that fails a check.
func (c *Commander) checkFile(ctx context.Context, file string) (checkedFile, *settings.CheckResult, error) {
	text, subtree, faults, err := c.parse(file)
	if err != nil {
		return checkedFile{}, nil, err
	}
	if len(faults) > 0 {
		return checkedFile{}, nil, c.reportFaults(faultsInFile(file, faults))
	}
	r, err := c.newRequester()
	if err != nil {
		return checkedFile{}, nil, err
	}
	result, err := checkAtNode(ctx, r, subtree.Team, text)
	if err != nil {
		return checkedFile{}, nil, err
	}
	if len(result.Faults) > 0 {
		return checkedFile{}, nil, c.reportFaults(faultsInFile(file, faultsFromAPI(result.Faults)))
	}
	return checkedFile{r, subtree.Team, text}, result, nil
}

func (c *Commander) writeDifferences(w io.Writer, result *settings.CheckResult) {
	if len(result.Differences) == 0 {
		fmt.Fprintf(w, "no difference from version %d\n", result.Version)
		return
	}
	fmt.Fprintf(w, "difference from version %d:\n", result.Version)
	printer.Differences(w, result.Differences)
}

func (c *Commander) apply(ctx context.Context, file, id string, wait bool) error {
	if id != "" && uuid.Validate(id) != nil {
		return usageError(fmt.Errorf("--id %q is not a UUID", id))
	}
	checked, result, err := c.checkFile(ctx, file)
	if err != nil {
		return err
	}
	if c.output == printer.Text {
		if err := c.print(nil, func(w io.Writer) { c.writeDifferences(w, result) }); err != nil {
			return err
		}
	}
	// A change that is repeated with --id may have taken effect already, so that
	// no difference is left. It is submitted all the same, for its outcome.
	if len(result.Differences) == 0 && id == "" {
		if c.output == printer.JSON {
			return c.print(result, nil)
		}
		return nil
	}
	settingsText := string(checked.text)
	return c.submitChange(ctx, checked.requester, &settings.SubmitPayload{
		ID: id, Kind: string(sycamorerun.Apply), Team: checked.team, Base: &result.Version, Settings: &settingsText,
	}, wait)
}

func (c *Commander) validate(ctx context.Context, files []string, online bool) error {
	tree := map[sycamorerun.Path]sycamorerun.Item{}
	fileByTeam := map[string]string{}
	textByTeam := map[string][]byte{}
	var faults []fileFault
	for _, file := range files {
		text, subtree, found, err := c.parse(file)
		if err != nil {
			return err
		}
		if otherFile, ok := fileByTeam[subtree.Team]; ok && len(found) == 0 {
			found = []sycamorerun.Fault{{Code: parser.CodeDuplicate, Path: "team", Reason: "the team has the file " + otherFile + " already"}}
		}
		faults = append(faults, faultsInFile(file, found)...)
		fileByTeam[subtree.Team] = file
		textByTeam[subtree.Team] = text
		maps.Copy(tree, subtree.Items)
	}
	if _, hasAdminFile := fileByTeam[sycamorerun.AdminTeam]; hasAdminFile && len(faults) == 0 {
		for _, treeFault := range validator.Check(tree) {
			faults = append(faults, fileFault{fileByTeam[sycamorerun.Path(treeFault.Path).Team()], treeFault})
		}
	}
	if online && len(faults) == 0 {
		nodeFaults, err := c.checkAllAtNode(ctx, fileByTeam, textByTeam)
		if err != nil {
			return err
		}
		faults = nodeFaults
	}
	if len(faults) > 0 {
		return c.reportFaults(faults)
	}
	return c.print(map[string]any{"faults": []fileFault{}}, func(w io.Writer) {
		for _, file := range files {
			fmt.Fprintf(w, "%s: valid\n", file)
		}
	})
}

// checkAllAtNode checks each team's file at a node.
func (c *Commander) checkAllAtNode(ctx context.Context, fileByTeam map[string]string, textByTeam map[string][]byte) ([]fileFault, error) {
	r, err := c.newRequester()
	if err != nil {
		return nil, err
	}
	var faults []fileFault
	for _, team := range slices.Sorted(maps.Keys(fileByTeam)) {
		result, err := checkAtNode(ctx, r, team, textByTeam[team])
		if err != nil {
			return nil, err
		}
		faults = append(faults, faultsInFile(fileByTeam[team], faultsFromAPI(result.Faults))...)
	}
	return faults, nil
}

// get prints the settings in force as settings files, below a comment with their
// version.
func (c *Commander) get(ctx context.Context, _ *cobra.Command, args []string) error {
	r, err := c.newRequester()
	if err != nil {
		return err
	}
	payload := &settings.ReadPayload{Token: r.Authorization()}
	if len(args) > 0 {
		name, err := parseTeam(args[0])
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
		if text, err = renderTeams(result, payload.Team); err != nil {
			return err
		}
	}
	return c.print(result, func(w io.Writer) { io.WriteString(w, text) })
}

// renderTeams returns the settings files of all teams, or of onlyTeam, as one YAML
// stream.
func renderTeams(result *settings.ReadResult, onlyTeam *string) (string, error) {
	teams := map[string]map[sycamorerun.Path]sycamorerun.Item{}
	if onlyTeam != nil {
		teams[*onlyTeam] = nil
	}
	for _, record := range result.Items {
		path := sycamorerun.Path(record.Path)
		if onlyTeam != nil && path.Team() != *onlyTeam {
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
