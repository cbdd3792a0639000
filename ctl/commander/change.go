package commander

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sycamorerun"
	"sycamorerun/api/gen/fleet"
	"sycamorerun/api/gen/settings"
	"sycamorerun/ctl/printer"
	"sycamorerun/ctl/requester"
)

func addWaitFlag(command *cobra.Command, wait *bool) {
	command.Flags().BoolVar(wait, "wait", false, "wait within --timeout until every node has the version")
}

func (c *Commander) changeCommands() []*cobra.Command {
	var wait bool
	var reason, until string
	hold := &cobra.Command{
		Use: "hold TEAM", Short: "Block changes to a team's settings", GroupID: groupSettings,
		Example: "  srctl hold quoting --reason \"harvest week\"\n  srctl hold quoting --reason \"incident 12\" --until 2h",
		Args:    cobra.ExactArgs(1),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			payload := &settings.SubmitPayload{Kind: string(sycamorerun.PlaceHold), Reason: &reason}
			if until != "" {
				end, err := parseUntil(c.Now(), until)
				if err != nil {
					return usageError(err)
				}
				payload.Until = &end
			}
			return c.submitTeamChange(ctx, args[0], payload, wait)
		}),
	}
	hold.Flags().StringVar(&reason, "reason", "", "why changes are blocked")
	hold.Flags().StringVar(&until, "until", "", "end as a duration from now (2h) or a time (RFC 3339); without it, until release")
	if err := hold.MarkFlagRequired("reason"); err != nil {
		panic(err)
	}
	release := &cobra.Command{
		Use: "release TEAM", Short: "End the hold on a team's settings", GroupID: groupSettings,
		Example: "  srctl release quoting",
		Args:    cobra.ExactArgs(1),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			return c.submitTeamChange(ctx, args[0], &settings.SubmitPayload{Kind: string(sycamorerun.ReleaseHold)}, wait)
		}),
	}
	var base uint64
	revert := &cobra.Command{
		Use: "revert TEAM VERSION", Short: "Make a team's settings what they were at a version", GroupID: groupSettings,
		Long: `Make a team's settings what they were at a version.

This is a new version with the older content of the team; versions never go
back, and other teams' settings stay as they are.`,
		Example: "  srctl history quoting\n  srctl revert quoting 41 --wait",
		Args:    cobra.ExactArgs(2),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			version, err := parseVersion(args[1])
			if err != nil {
				return usageError(err)
			}
			payload := &settings.SubmitPayload{Kind: string(sycamorerun.Revert), Version: &version}
			if base > 0 {
				payload.Base = &base
			}
			return c.submitTeamChange(ctx, args[0], payload, wait)
		}),
	}
	revert.Flags().Uint64Var(&base, "base", 0, "`VERSION` that the decision was made from; a later change of the team is a conflict")
	outcome := &cobra.Command{
		Use: "outcome ID", Short: "Show how a change ended", GroupID: groupSettings,
		Long:    "Show how a change ended. The exit code is that of the command that submitted it.",
		Example: "  srctl outcome 6f1c3f2e-4f5b-4a53-9a59-3c1d9f2f7a10",
		Args:    cobra.ExactArgs(1),
		RunE:    c.runE(c.outcome),
	}
	for _, command := range []*cobra.Command{hold, release, revert} {
		addWaitFlag(command, &wait)
	}
	return []*cobra.Command{hold, release, revert, outcome}
}

// parseUntil converts the end of a hold, a duration from now or a time, to UTC in
// RFC 3339.
func parseUntil(now time.Time, text string) (string, error) {
	end, err := time.Parse(time.RFC3339, text)
	if err != nil {
		duration, err := time.ParseDuration(text)
		if err != nil {
			return "", errors.Errorf("--until %q is neither a duration such as 2h nor a time such as 2026-01-02T15:04:05Z", text)
		}
		end = now.Add(duration)
	}
	if !end.After(now) {
		return "", errors.Errorf("--until %q is not in the future", text)
	}
	return end.UTC().Format(time.RFC3339), nil
}

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, errors.Errorf("%q is not a version: want a decimal number greater than 0", text)
	}
	return version, nil
}

// submitTeamChange submits a change to a team that needs no settings file.
func (c *Commander) submitTeamChange(ctx context.Context, name string, payload *settings.SubmitPayload, wait bool) error {
	name, err := parseTeam(name)
	if err != nil {
		return err
	}
	r, err := c.newRequester()
	if err != nil {
		return err
	}
	payload.Team = name
	return c.submitChange(ctx, r, payload, wait)
}

// submitChange submits a change and prints its outcome. With wait, it then waits
// until every node has the accepted version.
func (c *Commander) submitChange(ctx context.Context, r *requester.Requester, payload *settings.SubmitPayload, wait bool) error {
	if payload.ID == "" {
		payload.ID = uuid.NewString()
	}
	outcome, err := r.Change(ctx, payload)
	if err != nil {
		return err
	}
	if err := c.printOutcome(outcome); err != nil {
		return err
	}
	if outcome.Status != string(sycamorerun.StatusAccepted) || !wait || outcome.Version == nil {
		return outcomeError(outcome)
	}
	convergence, err := c.awaitVersion(ctx, r, *outcome.Version)
	if err != nil || c.output == printer.JSON {
		return err
	}
	return c.print(nil, func(w io.Writer) {
		fmt.Fprintf(w, "version %d is in force on all %d nodes\n", *outcome.Version, convergence.Nodes)
	})
}

// awaitVersion waits until every node has at least version. It shows progress if
// the error stream is a terminal.
func (c *Commander) awaitVersion(ctx context.Context, r *requester.Requester, version uint64) (*fleet.ConvergenceResult, error) {
	progressShown := false
	convergence, err := r.Wait(ctx, version, func(convergence *fleet.ConvergenceResult) {
		if c.Terminal {
			progressShown = true
			fmt.Fprintf(c.Err, "\rversion %d: %d of %d nodes, %d silent\x1b[K",
				version, requester.NodesWithVersion(convergence, version), convergence.Nodes, convergence.Silent)
		}
	})
	if progressShown {
		fmt.Fprintln(c.Err)
	}
	return convergence, err
}

func (c *Commander) printOutcome(outcome *settings.Outcome) error {
	return c.print(outcome, func(w io.Writer) {
		fmt.Fprint(w, outcome.Status)
		if outcome.Version != nil {
			fmt.Fprintf(w, ", version %d", *outcome.Version)
		}
		fmt.Fprintf(w, ", change %s\n", outcome.ID)
		for _, fault := range outcome.Faults {
			fmt.Fprintf(w, "  %s: %s (%s)\n", fault.Path, fault.Reason, fault.Code)
		}
	})
}

func (c *Commander) outcome(ctx context.Context, _ *cobra.Command, args []string) error {
	if uuid.Validate(args[0]) != nil {
		return usageError(errors.Errorf("%q is not a UUID", args[0]))
	}
	r, err := c.newRequester()
	if err != nil {
		return err
	}
	outcome, err := requester.Read(ctx, r, func(ctx context.Context, node *requester.Node) (*settings.Outcome, error) {
		return node.Settings.OutcomeEndpoint(ctx, &settings.OutcomePayload{Token: r.Authorization(), ID: args[0]})
	})
	if err != nil {
		return err
	}
	if err := c.printOutcome(outcome); err != nil {
		return err
	}
	return outcomeError(outcome)
}
