package runner

import (
	"context"
	"crypto/tls"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/node/acceptor"
	"sycamorerun/node/balancer"
	"sycamorerun/node/connector"
	"sycamorerun/node/manager"
	"sycamorerun/node/planner"
	"sycamorerun/node/router"
	"sycamorerun/parser"
	"sycamorerun/persister"
	"sycamorerun/validator"
)

func (n *node) wireConnector(security *tls.Config) {
	n.connector = &connector.Connector{
		Self: connector.Peer{
			Name: n.self.Name, Boot: int64(n.self.Incarnation.Boot()), Address: n.self.Address,
			AvailabilityZone: n.self.AvailabilityZone, Region: n.self.Region,
		},
		// All calls have ended by then, so only streams without a call are left.
		Limits: connector.Limits{Drain: leaveTimeout, Handshakes: n.settings.maxHandshakes()},
		TLS:    security, Listen: n.settings.peerListenAddress(), Handlers: n.streamHandlers(), Logger: n.logger, Scope: n.scope,
		SessionOpened: n.calls.registrar.OpenSession,
		SessionClosed: func(number uint64) { n.calls.registrar.CloseSession(time.Now(), number) },
	}
}

func (n *node) wireManager(metrics http.Handler) {
	n.manager = &manager.Manager{
		Name: n.settings.Name, AvailabilityZone: n.settings.AvailabilityZone, Region: n.settings.Region,
		Logger: n.logger, Metrics: metrics, Now: time.Now,
		Identify:    n.authenticator.Identify,
		Current:     n.current,
		Parse:       n.parse,
		Validate:    validator.Check,
		Submit:      n.acceptor.Submit,
		Lookup:      n.lookup,
		Proposals:   n.proposals,
		History:     n.history,
		Status:      n.status,
		Members:     n.members,
		Routes:      n.routes,
		Accounts:    n.accounts,
		Convergence: n.convergence,
		Explain:     n.explain,
		Announce:    n.announce,
	}
}

// parse parses a settings file. It parses one file at a time, since the parser bounds
// the memory for a single file.
func (n *node) parse(text []byte) (string, map[sycamorerun.Path]sycamorerun.Item, []sycamorerun.Fault) {
	n.parseMutex.Lock()
	defer n.parseMutex.Unlock()
	subtree, faults := parser.Parse(text)
	return subtree.Team, subtree.Items, faults
}

// lookup returns the outcome of a change. It returns false if no retained version and
// no proposal has the id.
func (n *node) lookup(ctx context.Context, id string) (sycamorerun.Outcome, bool) {
	outcome := n.acceptor.Lookup(ctx, id)
	missing := outcome.Status == sycamorerun.StatusUnknown && len(outcome.Faults) > 0 &&
		outcome.Faults[0].Code == acceptor.CodeNoSuchChange
	return outcome, !missing
}

// proposals returns the changes that wait for a review by the operators of a team.
func (n *node) proposals(ctx context.Context, team string) ([]manager.Proposal, error) {
	found, err := n.acceptor.Proposals(ctx, team)
	if err != nil {
		return nil, err
	}
	before := n.applier.Current().Tree.Subtree(team)
	delete(before, sycamorerun.NewPath(team, sycamorerun.KindHold, ""))
	results := make([]manager.Proposal, 0, len(found))
	for _, p := range found {
		results = append(results, manager.Proposal{
			ID: p.ID, Team: p.Team, Operator: p.Operator, Content: p.Content, Time: p.Time,
			Difference: differ.Compare(before, p.Items),
		})
	}
	return results, nil
}

// history returns entries, newest first, until they contain limit changes of the team,
// or of all teams if team is empty. A node that caught up with a snapshot lacks entries.
// It reads these from the store with one list request, or omits them if the store is
// unavailable.
func (n *node) history(ctx context.Context, team string, limit int) []sycamorerun.Entry {
	if n.document != nil {
		return n.documentHistory(team, limit)
	}
	var entries []sycamorerun.Entry
	var stored map[sycamorerun.Version]sycamorerun.Entry
	for version := n.applier.Current().Tree.Version; version > 0 && limit > 0; version-- {
		entry, ok := n.distributor.Entry(version)
		if !ok && stored == nil {
			stored = n.storedEntries(ctx)
		}
		if !ok {
			entry, ok = stored[version]
		}
		if !ok {
			break
		}
		for _, change := range entry.Changes {
			if team == "" || change.Team == team {
				limit--
			}
		}
		entries = append(entries, entry)
	}
	return entries
}

// kindDocument is the kind of a change that was made in the operators' document.
const kindDocument sycamorerun.ChangeKind = "document"

// documentHistory returns up to limit of the retained versions of the operators'
// document, newest first. They belong to the administrators' team.
func (n *node) documentHistory(team string, limit int) []sycamorerun.Entry {
	if team != "" && team != sycamorerun.AdminTeam {
		return nil
	}
	entries := n.distributor.Entries(limit)
	for i := range entries {
		entries[i].Changes = []sycamorerun.Accepted{{
			ID: "document-" + entries[i].Version.String(), Team: sycamorerun.AdminTeam, Kind: kindDocument,
		}}
	}
	return entries
}

// storedEntries returns the log entries in the store by version.
func (n *node) storedEntries(ctx context.Context) map[sycamorerun.Version]sycamorerun.Entry {
	entries := map[sycamorerun.Version]sycamorerun.Entry{}
	listing, err := n.store.List(ctx, persister.LogPrefix, 0)
	if err != nil {
		level.Warn(n.logger).Log("msg", "history is incomplete: failed to list the log in the store", "err", err)
		return entries
	}
	for _, object := range listing.Objects {
		if entry, err := persister.DecodeEntry(object.Value); err == nil {
			entries[entry.Version] = entry
		}
	}
	return entries
}

func (n *node) status() manager.Status {
	status := n.applier.Status()
	result := manager.Status{
		Phase: n.phase.Load().(manager.Phase), Refused: uint64(status.Refused),
		Sessions: n.connector.Sessions(), Members: len(n.fleet.live()),
		Watching: n.fleet.plan().Watch != planner.None,
	}
	for _, route := range n.applier.Current().Table.Degraded(n.fleet.servingCount) {
		if route.State == router.Partial {
			result.Partial++
		} else {
			result.Unserved++
		}
	}
	if status.Refusal != nil {
		result.Fault = "version " + status.Refusal.Version.String() + ": " + status.Refusal.Reason
	}
	return result
}

func (n *node) members() []manager.Member {
	suspects := n.tracker.Suspects(time.Now())
	var members []manager.Member
	for _, member := range n.fleet.live() {
		members = append(members, manager.Member{Instance: member, Suspect: slices.Contains(suspects, member.Name)})
	}
	return members
}

func (n *node) routes() []manager.Route {
	var routes []manager.Route
	for _, status := range n.applier.Current().Table.Statuses(n.fleet.servingCount) {
		routes = append(routes, n.route(status))
	}
	return routes
}

func (n *node) accounts() []manager.Account {
	accounts := n.applier.Current().Table.Accounts()
	var list []manager.Account
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		list = append(list, manager.Account{Account: accounts[name], Name: name})
	}
	return list
}

func (n *node) route(status router.Status) manager.Route {
	route := manager.Route{Path: status.Route, State: string(status.State)}
	route.Since, _ = n.reporter.Since(status.Route, status.State)
	for _, target := range status.Targets {
		route.Targets = append(route.Targets, manager.Target(target))
	}
	return route
}

func (n *node) convergence(ctx context.Context) (manager.Convergence, error) {
	survey, err := n.distributor.Survey(ctx)
	if err != nil {
		return manager.Convergence{}, err
	}
	result := manager.Convergence{Newest: survey.Target, Versions: survey.Counts}
	for version, count := range survey.Counts {
		result.Nodes += count
		result.Newest = max(result.Newest, version)
	}
	result.Silent = max(0, len(n.fleet.live())-result.Nodes)
	for _, lagging := range survey.Lagging {
		result.Laggards = append(result.Laggards, manager.Laggard{
			Name: lagging.Name, Version: lagging.Version, Since: lagging.Since,
		})
	}
	return result, nil
}

// explain returns the route that a request would match and the upstreams that could
// serve it.
func (n *node) explain(query manager.Query) manager.Explanation {
	header := http.Header{}
	for name, value := range query.Headers {
		header.Set(name, value)
	}
	table := n.applier.Current().Table
	found := table.Explain(router.Request{
		Method: query.Method, Host: query.Host, Path: query.Path, Header: header,
	})
	var result manager.Explanation
	for _, step := range found.Steps {
		result.Steps = append(result.Steps, step.String())
	}
	result.Steps = append(result.Steps, "limits for callers here: "+n.limits().String())
	if !found.Found {
		return result
	}
	result.Route = string(found.Match.Route)
	result.Steps = append(result.Steps, "calls have "+found.Attributes())
	result.Class, result.Repeatable = found.Match.Class, found.Match.Repeatable
	if status, ok := table.Status(found.Match.Route, n.fleet.servingCount); ok {
		state := n.route(status)
		result.State = &state
	}
	for _, chance := range n.calls.balancer.Chances(time.Now(), balancer.Query{Service: found.Match.Service}) {
		member, _ := n.fleet.member(chance.Instance)
		result.Candidates = append(result.Candidates, manager.Candidate{
			Instance: chance.Instance, AvailabilityZone: member.AvailabilityZone, State: member.State,
			Chance: chance.Share, Reason: candidateReason(chance),
		})
	}
	return result
}

// tierNames holds the names of the balancer's tiers.
var tierNames = []string{"same availability zone", "same region", "other region"}

func candidateReason(chance balancer.Chance) string {
	text := tierNames[min(chance.Tier, len(tierNames)-1)]
	if chance.Ejected {
		text += ", ejected after failures"
	}
	return text
}
