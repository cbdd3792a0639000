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
	loadSeed = 11
	// loadDuration is the time for which the callers send requests.
	loadDuration = 25 * time.Second
	// lateTimeout is the timeout of route late, whose requests always exceed it.
	lateTimeout = 400 * time.Millisecond
)

// loadKinds returns the request kinds of the test, 99 requests/s in total. Kind
// pull takes one second and is sent in zone only, so that a stop there always
// finds requests in flight.
func loadKinds(zone string) []caller.Kind {
	ms := time.Millisecond
	return []caller.Kind{
		{Name: "read", Rate: 30, Method: "GET", Host: "read.example", Work: 5 * ms, Response: 2000, Objective: 100 * ms, Deadline: time.Second, Timeout: 5 * time.Second, Retries: 2, DisconnectShare: 0.05},
		{Name: "book", Rate: 20, Host: "book.example", Work: 30 * ms, Timeout: 2 * time.Second, Retries: 3, AtMostOnce: true, ImmediateRetryShare: 0.3},
		{Name: "order", Rate: 10, Host: "book.example", Work: 30 * ms, Timeout: 2 * time.Second, Retries: 2, AtMostOnce: true, Key: true, RotateNodes: true},
		{Name: "upload", Rate: 5, Host: "book.example", Work: 20 * ms, Body: 200 << 10, Chunked: true, Timeout: 2 * time.Second, Retries: 1, AtMostOnce: true},
		{Name: "history", Rate: 5, Host: "read.example", Work: time.Second, Response: 300 << 10, Timeout: 5 * time.Second, Retries: 1},
		{Name: "pull", Rate: 4, Zones: []string{zone}, Host: "read.example", Work: time.Second, Response: 300 << 10, Timeout: 5 * time.Second},
		{Name: "late", Rate: 3, Host: "late.example", Work: 3 * time.Second, Timeout: lateTimeout},
		{Name: "gone", Rate: 4, Host: "read.example", Work: 2500 * ms, Timeout: 5 * time.Second, DisconnectShare: 0.8},
		{Name: "version", Rate: 18, Host: "version.example", Marker: true},
	}
}

// loadSettings returns the settings with the marker of version as the timeout of
// route version.
func loadSettings(version int) string {
	return fmt.Sprintf(`team: quoting
services:
  quote-desk: {slots: 6, queue: 12, connections: 130, timeout: 5s, idle: 4s, warmup: 0s}
routes:
  read: {hosts: [read.example], prefix: /, repeat: always, split: [{service: quote-desk, weight: 100}]}
  book: {hosts: [book.example], prefix: /, timeout: 2s, repeat: never, split: [{service: quote-desk, weight: 100}]}
  late: {hosts: [late.example], prefix: /, timeout: %s, split: [{service: quote-desk, weight: 100}]}
  version: {hosts: [version.example], prefix: /, timeout: %s, class: interactive, split: [{service: quote-desk, weight: 100}]}
`, lateTimeout, caller.MarkerTimeout(version))
}

// Guards against violations of the guarantees that bench/judge checks. During
// the load the settings change, an upstream drains, a node is stopped gracefully
// and restarted, another one is killed, and one upstream sends faulty responses.
func TestGuaranteesUnderFailures(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	fleet := startEmpty(t, deployer.Spec{
		Zones: deployer.ReferenceZones(1), Upstreams: true, Services: []string{"quote-desk"}, Relays: true,
		UpstreamArgs: []string{"--slots", "6", "--queue", "2"},
		NodeArgs:     []string{"--drain-delay", "1s", "--stop-timeout", "9800ms"},
	})
	waitAllReady(t, fleet, "admin")
	is.NoErr(fleet.DeclareTeams(ctx, map[string]string{"quoting": "flow"}))
	var operator judge.OperatorActions
	changeSettings := func(nodes ...*deployer.Node) {
		number := len(operator.Versions) + 1
		apply(t, fleet, "quoting", loadSettings(number), nodes...)
		operator.Versions = append(operator.Versions, judge.Version{Number: number, Accepted: time.Now()})
	}
	changeSettings(fleet.Nodes...)
	is.NoErr(fleet.WaitVersion(ctx, 2, len(fleet.Nodes), convergenceLimit))

	faulty, drained, stopped, killed := fleet.Nodes[1], fleet.Nodes[2], fleet.Nodes[3], fleet.Nodes[4]
	is.NoErr(deployer.Put(ctx, faulty.Control, "/behavior", map[string]any{"truncate": 0.1, "surplus": 0.1, "extra": 0.1, "lose": 0.1, "fail": 0.05}))
	callers := &caller.Generator{Kinds: loadKinds(stopped.Zone.Name), Seed: loadSeed}
	for _, node := range fleet.Nodes {
		callers.Entries = append(callers.Entries, caller.Entry{Name: node.Name, Zone: node.Zone.Name, Address: node.Callers})
	}
	loadStart := time.Now()
	done := make(chan error, 1)
	go func() { done <- callers.Run(ctx, loadDuration) }()

	sleepUntil := func(after time.Duration) { time.Sleep(time.Until(loadStart.Add(after))) }
	for second := range 6 {
		sleepUntil(time.Duration(1+second) * time.Second)
		changeSettings(fleet.Nodes[0])
	}
	is.NoErr(deployer.Put(ctx, drained.Control, "/behavior", map[string]any{"state": "draining"}))
	sleepUntil(7 * time.Second)
	from := time.Now()
	is.NoErr(stopped.Process.Signal(syscall.SIGTERM))
	sleepUntil(17 * time.Second) // 1 s after the end of the drain.
	operator.Stops = append(operator.Stops, judge.Span{Node: stopped.Name, From: from, To: time.Now()})
	stopped.Process.Kill()
	is.NoErr(fleet.StartNode(ctx, stopped))
	sleepUntil(18 * time.Second)
	from = time.Now()
	killed.Process.Kill()
	sleepUntil(20 * time.Second)
	is.NoErr(fleet.StartNode(ctx, killed))
	is.NoErr(fleet.WaitReady(ctx, killed, stopped))
	operator.Faults = append(operator.Faults, judge.Span{Node: killed.Name, From: from, To: time.Now()})
	is.NoErr(<-done)
	operator.Faults = append(operator.Faults, judge.Span{Node: faulty.Name, From: loadStart, To: time.Now(), Upstream: true})
	for _, stall := range callers.Stalls() {
		t.Logf("callers stalled from %s to %s", stall.From.Sub(loadStart), stall.To.Sub(loadStart))
		operator.Stalls = append(operator.Stalls, judge.Span{From: stall.From, To: stall.To})
	}

	var journals [][]recorder.Event
	for _, node := range fleet.Nodes {
		events, err := fleet.Events(node)
		is.NoErr(err)
		journals = append(journals, events)
	}
	findings := judge.Judge(callers.Records(), journals, operator, judge.DefaultBounds)
	for _, summary := range callers.Summarize(loadStart, time.Now()) {
		t.Logf("%s: %d requests, %d served, %d in time, p99 %d ms", summary.Kind, summary.Requests, summary.Served, summary.InTime, summary.Latency.ValueAtQuantile(99)/1000)
	}
	t.Logf("findings: %v", judge.Count(findings))
	shown := map[judge.Promise]int{}
	for _, finding := range findings {
		if shown[finding.Promise]++; shown[finding.Promise] <= 5 {
			t.Errorf("%s: %s at %s, %s to %s: %s", finding.Promise, finding.ID, finding.Instance, finding.Start.Sub(loadStart), finding.End.Sub(loadStart), finding.Detail)
		}
	}
	is.True(slices.IndexFunc(callers.Records(), func(r caller.Record) bool { return r.Attempts[0].Version == 7 }) >= 0)
}
