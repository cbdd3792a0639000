package commander

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sycamorerun/api/gen/fleet"
	"sycamorerun/api/gen/settings"
	"sycamorerun/ctl/printer"
	"sycamorerun/ctl/requester"
)

func (c *Commander) fleetCommands() []*cobra.Command {
	var limit int
	history := &cobra.Command{
		Use: "history [TEAM]", Short: "List the newest accepted changes", GroupID: groupSettings,
		Example: "  srctl history\n  srctl history quoting --limit 5",
		Args:    cobra.MaximumNArgs(1),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			return c.history(ctx, args, limit)
		}),
	}
	history.Flags().IntVar(&limit, "limit", 20, "number of changes, 1 to 1024")
	status := &cobra.Command{
		Use: "status", Short: "Show the state of the node", GroupID: groupFleet,
		Example: "  srctl status --server 10.0.0.1:7070",
		Args:    cobra.NoArgs, RunE: c.runE(c.status),
	}
	members := &cobra.Command{
		Use: "members", Short: "List the instances that the node knows", GroupID: groupFleet,
		Example: "  srctl members\n  srctl members --output json",
		Args:    cobra.NoArgs, RunE: c.runE(c.members),
	}
	var unserved bool
	routes := &cobra.Command{
		Use: "routes [TEAM]", Short: "List the routes and whether their services have upstreams", GroupID: groupFleet,
		Example: "  srctl routes quoting\n  srctl routes --unserved",
		Args:    cobra.MaximumNArgs(1),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			return c.routes(ctx, args, unserved)
		}),
	}
	routes.Flags().BoolVar(&unserved, "unserved", false, "only routes of which some calls have no upstream")
	accounts := &cobra.Command{
		Use: "accounts", Short: "List the client accounts; keys are only counted", GroupID: groupFleet,
		Example: "  srctl accounts\n  srctl accounts --output json",
		Args:    cobra.NoArgs, RunE: c.runE(c.accounts),
	}
	var version uint64
	convergence := &cobra.Command{
		Use: "convergence", Short: "Show which versions are in force in the fleet", GroupID: groupFleet,
		Example: "  srctl convergence\n  srctl convergence --wait 42 --timeout 10s",
		Args:    cobra.NoArgs,
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, _ []string) error {
			return c.convergence(ctx, version)
		}),
	}
	convergence.Flags().Uint64Var(&version, "wait", 0, "wait within --timeout until every node has `VERSION` or a later one")
	var headers []string
	explain := &cobra.Command{
		Use: "explain METHOD URL", Short: "Show which route and upstream a request would take", GroupID: groupFleet,
		Example: "  srctl explain GET http://quotes.example/quotes/7 -H 'x-channel: agent'",
		Args:    cobra.ExactArgs(2),
		RunE: c.runE(func(ctx context.Context, _ *cobra.Command, args []string) error {
			return c.explain(ctx, args[0], args[1], headers)
		}),
	}
	explain.Flags().StringArrayVarP(&headers, "header", "H", nil, "request header, `NAME: VALUE`; repeatable")
	return []*cobra.Command{history, status, members, routes, accounts, convergence, explain}
}

// readAndPrint reads from a node and prints the result.
func readAndPrint[T any](ctx context.Context, c *Commander, read func(context.Context, *requester.Node, *string) (T, error), text func(io.Writer, T)) error {
	r, err := c.newRequester()
	if err != nil {
		return err
	}
	result, err := requester.Read(ctx, r, func(ctx context.Context, node *requester.Node) (T, error) {
		return read(ctx, node, r.Authorization())
	})
	if err != nil {
		return err
	}
	return c.print(result, func(w io.Writer) { text(w, result) })
}

func (c *Commander) history(ctx context.Context, args []string, limit int) error {
	if limit < 1 || limit > 1024 {
		return usageError(errors.Errorf("--limit %d is outside 1..1024", limit))
	}
	payload := &settings.HistoryPayload{Limit: limit}
	if len(args) > 0 {
		name, err := parseTeam(args[0])
		if err != nil {
			return err
		}
		payload.Team = &name
	}
	return readAndPrint(ctx, c, func(ctx context.Context, node *requester.Node, token *string) ([]*settings.Accepted, error) {
		payload.Token = token
		return node.Settings.History(ctx, payload)
	}, func(w io.Writer, changes []*settings.Accepted) {
		var rows [][]any
		for _, change := range changes {
			rows = append(rows, []any{change.Version, change.Time, change.Team, change.Operator, change.Kind, change.ID})
		}
		printer.Table(w, "VERSION TIME TEAM OPERATOR KIND ID", rows)
	})
}

func (c *Commander) status(ctx context.Context, _ *cobra.Command, _ []string) error {
	return readAndPrint(ctx, c, func(ctx context.Context, node *requester.Node, token *string) (*fleet.StatusResult, error) {
		return node.Fleet.Status(ctx, &fleet.StatusPayload{Token: token})
	}, func(w io.Writer, status *fleet.StatusResult) {
		printer.Table(w, "FIELD VALUE", [][]any{
			{"name", status.Name},
			{"zone", status.Zone},
			{"region", status.Region},
			{"phase", status.Phase},
			{"version", status.Version},
			{"hash", status.Hash},
			{"sessions", status.Sessions},
			{"members", status.Members},
			{"watching", status.Watching},
			{"refused", status.Refused},
			{"fault", optionalString(status.Fault)},
			{"unserved", optionalInt(status.Unserved)},
			{"partial", optionalInt(status.Partial)},
		})
	})
}

func (c *Commander) members(ctx context.Context, _ *cobra.Command, _ []string) error {
	return readAndPrint(ctx, c, func(ctx context.Context, node *requester.Node, token *string) ([]*fleet.Member, error) {
		return node.Fleet.Members(ctx, &fleet.MembersPayload{Token: token})
	}, func(w io.Writer, members []*fleet.Member) {
		var rows [][]any
		for _, member := range members {
			rows = append(rows, []any{
				member.Name, member.Region, member.Zone, member.Address, member.Service, member.State, member.Slots, member.Suspect,
			})
		}
		printer.Table(w, "NAME REGION ZONE ADDRESS SERVICE STATE SLOTS SUSPECT", rows)
	})
}

func (c *Commander) routes(ctx context.Context, args []string, unserved bool) error {
	payload := &fleet.RoutesPayload{}
	if len(args) > 0 {
		name, err := parseTeam(args[0])
		if err != nil {
			return err
		}
		payload.Team = &name
	}
	return readAndPrint(ctx, c, func(ctx context.Context, node *requester.Node, token *string) ([]*fleet.RouteState, error) {
		payload.Token = token
		routes, err := node.Fleet.Routes(ctx, payload)
		return slices.DeleteFunc(routes, func(route *fleet.RouteState) bool { return unserved && route.State == stateServed }), err
	}, func(w io.Writer, routes []*fleet.RouteState) {
		var rows [][]any
		for _, route := range routes {
			rows = append(rows, []any{route.Route, route.State, optionalString(route.Since), formatTargets(route)})
		}
		printer.Table(w, "ROUTE STATE SINCE UPSTREAMS", rows)
	})
}

func (c *Commander) accounts(ctx context.Context, _ *cobra.Command, _ []string) error {
	return readAndPrint(ctx, c, func(ctx context.Context, node *requester.Node, token *string) ([]*fleet.Account, error) {
		return node.Fleet.Accounts(ctx, &fleet.AccountsPayload{Token: token})
	}, func(w io.Writer, accounts []*fleet.Account) {
		var rows [][]any
		for _, account := range accounts {
			rows = append(rows, []any{
				account.Name, optionalString(account.Label), optionalNumber(account.Rank),
				optionalNumber(account.Rate), optionalNumber(account.Burst), account.Keys,
			})
		}
		printer.Table(w, "ACCOUNT LABEL RANK RATE BURST KEYS", rows)
	})
}

// optionalNumber returns the text of a number, or an empty one if there is none.
func optionalNumber[T int | float64](value *T) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(*value)
}

// stateServed is the state of a route if all of its services have upstreams.
const stateServed = "served"

// formatTargets returns the services of a route, each with its number of upstreams.
func formatTargets(route *fleet.RouteState) string {
	var texts []string
	for _, target := range route.Targets {
		texts = append(texts, fmt.Sprintf("%s: %d", target.Service, target.Upstreams))
	}
	return strings.Join(texts, ", ")
}

func (c *Commander) convergence(ctx context.Context, version uint64) error {
	r, err := c.newRequester()
	if err != nil {
		return err
	}
	var result *fleet.ConvergenceResult
	var readErr error
	if version > 0 {
		result, readErr = c.awaitVersion(ctx, r, version)
	} else {
		result, readErr = r.Convergence(ctx)
	}
	if result == nil {
		return readErr
	}
	if err := c.print(result, func(w io.Writer) { writeConvergence(w, result) }); err != nil {
		return err
	}
	return readErr
}

func writeConvergence(w io.Writer, result *fleet.ConvergenceResult) {
	fmt.Fprintf(w, "newest version %d; %d nodes answered, %d silent\n", result.Newest, result.Nodes, result.Silent)
	var tallies, laggards [][]any
	for _, tally := range result.Tallies {
		tallies = append(tallies, []any{tally.Version, tally.Nodes})
	}
	for _, laggard := range result.Laggards {
		laggards = append(laggards, []any{laggard.Name, laggard.Version, laggard.Since, optionalString(laggard.Fault)})
	}
	printer.Table(w, "VERSION NODES", tallies)
	if len(laggards) > 0 {
		printer.Table(w, "BEHIND VERSION SINCE FAULT", laggards)
	}
}

func (c *Commander) explain(ctx context.Context, method, rawURL string, headers []string) error {
	requestURL, err := url.Parse(rawURL)
	if err != nil || requestURL.Host == "" {
		return usageError(errors.Errorf("%q is not a URL with a host", rawURL))
	}
	payload := &fleet.ExplainPayload{
		Method: strings.ToUpper(method), Host: strings.ToLower(requestURL.Hostname()), Path: requestURL.Path, Headers: map[string]string{},
	}
	if payload.Path == "" {
		payload.Path = "/"
	}
	for _, header := range headers {
		name, value, ok := strings.Cut(header, ":")
		if name = strings.ToLower(strings.TrimSpace(name)); !ok || name == "" {
			return usageError(errors.Errorf("header %q is not NAME: VALUE", header))
		}
		payload.Headers[name] = strings.TrimSpace(value)
	}
	return readAndPrint(ctx, c, func(ctx context.Context, node *requester.Node, token *string) (*fleet.ExplainResult, error) {
		payload.Token = token
		return node.Fleet.Explain(ctx, payload)
	}, writeExplanation)
}

func writeExplanation(w io.Writer, result *fleet.ExplainResult) {
	route := result.Route
	if route == "" {
		route = "no route matches"
	}
	fmt.Fprintf(w, "version %d: %s\n", result.Version, route)
	if result.Class != nil {
		fmt.Fprintf(w, "class %s\n", *result.Class)
	}
	if result.Repeatable != nil {
		fmt.Fprintf(w, "may be repeated: %t\n", *result.Repeatable)
	}
	if result.State != nil {
		fmt.Fprintf(w, "%s (upstreams of %s)\n", result.State.State, formatTargets(result.State))
		for _, target := range result.State.Targets {
			if target.Upstreams == 0 {
				fmt.Fprintf(w, "%.1f%% of the calls are for %s and end not run, no-upstream\n", 100*target.Share, target.Service)
			}
		}
	}
	for i, step := range result.Steps {
		fmt.Fprintf(w, "%3d. %s\n", i+1, step)
	}
	var rows [][]any
	for _, candidate := range result.Candidates {
		rows = append(rows, []any{
			candidate.Instance, candidate.Zone, candidate.State, fmt.Sprintf("%.3f", candidate.Chance), candidate.Reason,
		})
	}
	if len(rows) > 0 {
		printer.Table(w, "INSTANCE ZONE STATE CHANCE REASON", rows)
	}
}

// optionalInt formats a number that older nodes do not report.
func optionalInt(value *int) string {
	if value == nil {
		return ""
	}
	return strconv.Itoa(*value)
}

func optionalString(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}
