package system

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/caller"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/judge"
	"sycamorerun/upstream/recorder"
)

const (
	judgedSeed = 11
	// judgedTime is how long the callers send requests.
	judgedTime = 25 * time.Second
	// judgedTimeout is the timeout of the route that is slower than it.
	judgedTimeout = 400 * time.Millisecond
)

// judgedKinds are requests of all sorts, 99 in a second. Some that take a
// second enter in one zone, so that a stop there meets requests in flight.
func judgedKinds(zone string) []caller.Kind {
	ms := time.Millisecond
	return []caller.Kind{
		{Name: "read", Rate: 30, Method: "GET", Host: "read.example", Work: 5 * ms, Response: 2000, Objective: 100 * ms, Deadline: time.Second, Timeout: 5 * time.Second, Retries: 2, DisconnectShare: 0.05},
		{Name: "book", Rate: 20, Host: "book.example", Work: 30 * ms, Timeout: 2 * time.Second, Retries: 3, AtMostOnce: true, ImmediateRetryShare: 0.3},
		{Name: "order", Rate: 10, Host: "book.example", Work: 30 * ms, Timeout: 2 * time.Second, Retries: 2, AtMostOnce: true, Key: true, RotateNodes: true},
		{Name: "upload", Rate: 5, Host: "book.example", Work: 20 * ms, Body: 200 << 10, Chunked: true, Timeout: 2 * time.Second, Retries: 1, AtMostOnce: true},
		{Name: "history", Rate: 5, Host: "read.example", Work: time.Second, Response: 300 << 10, Timeout: 5 * time.Second, Retries: 1},
		{Name: "pull", Rate: 4, Zones: []string{zone}, Host: "read.example", Work: time.Second, Response: 300 << 10, Timeout: 5 * time.Second},
		{Name: "late", Rate: 3, Host: "late.example", Work: 3 * time.Second, Timeout: judgedTimeout},
		{Name: "gone", Rate: 4, Host: "read.example", Work: 2500 * ms, Timeout: 5 * time.Second, DisconnectShare: 0.8},
		{Name: "version", Rate: 18, Host: "version.example", Marker: true},
	}
}

// judgedSettings are the settings with a marker.
func judgedSettings(version int) string {
	return fmt.Sprintf(`team: quoting
services:
  quote-desk: {slots: 6, queue: 12, connections: 130, timeout: 5s, idle: 4s, warmup: 0s}
routes:
  read: {hosts: [read.example], prefix: /, repeat: always, split: [{service: quote-desk, weight: 100}]}
  book: {hosts: [book.example], prefix: /, timeout: 2s, repeat: never, split: [{service: quote-desk, weight: 100}]}
  late: {hosts: [late.example], prefix: /, timeout: %s, split: [{service: quote-desk, weight: 100}]}
  version: {hosts: [version.example], prefix: /, timeout: %s, class: interactive, split: [{service: quote-desk, weight: 100}]}
`, judgedTimeout, caller.MarkerTimeout(version))
}

// Guards against every promise of bench/judge being broken in a fleet that
// changes its settings, drains an upstream, stops and starts a node in a
// planned way, kills another one and has an upstream with faulty responses.
func TestJudged(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	fleet := startEmpty(t, deployer.Spec{
		Zones: deployer.ReferenceZones(1), Upstreams: true, Services: []string{"quote-desk"}, Relays: true,
		UpstreamArgs: []string{"--slots", "6", "--queue", "2"},
		NodeArgs:     []string{"--drain-delay", "1s", "--drain-timeout", "8s"},
	})
	waitKnown(t, fleet, "admin")
	is.NoErr(fleet.DeclareTeams(ctx, map[string]string{"quoting": "flow"}))
	var operator judge.OperatorActions
	change := func(nodes ...*deployer.Node) {
		number := len(operator.Versions) + 1
		apply(t, fleet, "quoting", judgedSettings(number), nodes...)
		operator.Versions = append(operator.Versions, judge.Version{Number: number, Accepted: time.Now()})
	}
	change(fleet.Nodes...)
	is.NoErr(fleet.WaitVersion(ctx, 2, len(fleet.Nodes), converged))

	faulty, drained, stopped, killed := fleet.Nodes[1], fleet.Nodes[2], fleet.Nodes[3], fleet.Nodes[4]
	is.NoErr(deployer.Put(ctx, faulty.Control, "/behavior", map[string]any{"truncate": 0.1, "surplus": 0.1, "extra": 0.1, "lose": 0.1, "fail": 0.05}))
	callers := &caller.Generator{Kinds: judgedKinds(stopped.Zone.Name), Seed: judgedSeed}
	for _, node := range fleet.Nodes {
		callers.Entries = append(callers.Entries, caller.Entry{Name: node.Name, Zone: node.Zone.Name, Address: node.Callers})
	}
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- callers.Run(ctx, judgedTime) }()

	until := func(after time.Duration) { time.Sleep(time.Until(began.Add(after))) }
	for second := range 6 {
		until(time.Duration(1+second) * time.Second)
		change(fleet.Nodes[0])
	}
	is.NoErr(deployer.Put(ctx, drained.Control, "/behavior", map[string]any{"state": "draining"}))
	until(7 * time.Second)
	from := time.Now()
	is.NoErr(stopped.Process.Signal(syscall.SIGTERM))
	until(17 * time.Second) // 1 s after the end of the drain.
	operator.Stops = append(operator.Stops, judge.Span{Node: stopped.Name, From: from, To: time.Now()})
	stopped.Process.Kill()
	is.NoErr(fleet.StartNode(ctx, stopped))
	until(18 * time.Second)
	from = time.Now()
	killed.Process.Kill()
	until(20 * time.Second)
	is.NoErr(fleet.StartNode(ctx, killed))
	is.NoErr(fleet.WaitReady(ctx, killed, stopped))
	operator.Faults = append(operator.Faults, judge.Span{Node: killed.Name, From: from, To: time.Now()})
	is.NoErr(<-ended)
	operator.Faults = append(operator.Faults, judge.Span{Node: faulty.Name, From: began, To: time.Now(), Upstream: true})
	for _, stall := range callers.Stalls() {
		t.Logf("callers stalled from %s to %s", stall.From.Sub(began), stall.To.Sub(began))
		operator.Stalls = append(operator.Stalls, judge.Span{From: stall.From, To: stall.To})
	}

	var journals [][]recorder.Event
	for _, node := range fleet.Nodes {
		events, err := fleet.Events(node)
		is.NoErr(err)
		journals = append(journals, events)
	}
	findings := judge.Judge(callers.Records(), journals, operator, judge.DefaultBounds)
	for _, summary := range callers.Summarize(began, time.Now()) {
		t.Logf("%s: %d requests, %d served, %d in time, p99 %d ms", summary.Kind, summary.Requests, summary.Served, summary.InTime, summary.Latency.ValueAtQuantile(99)/1000)
	}
	t.Logf("findings: %v", judge.Count(findings))
	shown := map[judge.Promise]int{}
	for _, finding := range findings {
		if shown[finding.Promise]++; shown[finding.Promise] <= 5 {
			t.Errorf("%s: %s at %s, %s to %s: %s", finding.Promise, finding.ID, finding.Instance, finding.Start.Sub(began), finding.End.Sub(began), finding.Detail)
		}
	}
	is.True(slices.IndexFunc(callers.Records(), func(r caller.Record) bool { return r.Attempts[0].Version == 7 }) >= 0)
}
