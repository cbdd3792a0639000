package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/mixer"
)

// mixSeed fixes the choices of the callers and of the failing nodes.
const mixSeed = 20261204

// callers are the callers of each workload. The stock sync alone asks for more
// than the slots and queues of its service.
var callers = map[mixer.Kind]int{
	mixer.Status: 4, mixer.Count: 4, mixer.Order: 16, mixer.Upload: 4, mixer.History: 4, mixer.Sync: 140,
}

// mixed returns the settings of the two teams of a deployment: one service
// with status reads and orders, one with everything else.
func mixed(desk, store string) map[string]string {
	route := func(kind mixer.Kind, class sycamorerun.Class, service string) string {
		return fmt.Sprintf("  %s: {hosts: [%s.example], prefix: /, class: %s, split: [{service: %s, weight: 100}]}\n", kind, kind, class, service)
	}
	const service = "team: %s\nservices:\n  %s: {slots: 6, queue: 12, connections: 130, timeout: 5s, idle: 2s, warmup: 0s}\nroutes:\n"
	return map[string]string{
		"quoting": fmt.Sprintf(service, "quoting", desk) +
			route(mixer.Status, sycamorerun.Interactive, desk) + route(mixer.Order, sycamorerun.Interactive, desk),
		"surveys": fmt.Sprintf(service, "surveys", store) +
			route(mixer.Count, sycamorerun.Interactive, store) + route(mixer.Upload, sycamorerun.Bulk, store) +
			route(mixer.History, sycamorerun.Bulk, store) + route(mixer.Sync, sycamorerun.Background, store),
	}
}

// Guards against promises that hold for one kind of call or failure at a time
// only. All workloads of a deployment run at once, one service is overloaded by
// the background class, and then first an upstream drains and a node stops, and
// later nodes and upstreams are killed and paused and connections are cut.
func TestMixes(t *testing.T) {
	cases := map[string]struct {
		spec  deployer.Spec
		desk  string
		store string
	}{
		"umuyoboro": {deployer.Umuyoboro(), "quote-desk", "survey-store"},
		"gulfline":  {deployer.Gulfline(), "dispatch-desk", "box-records"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := startEmpty(t, c.spec)
			// With the members known before the first version no key has moved.
			waitKnown(t, fleet, "admin")
			configure(t, fleet)
			ctx := t.Context()
			var version uint64
			for team, text := range mixed(c.desk, c.store) {
				version = max(version, apply(t, fleet, team, text, fleet.Nodes[0]))
			}
			is.NoErr(fleet.WaitVersion(ctx, version, len(fleet.Nodes), converged))
			victims := chooseVictims(fleet, c.desk, c.store)
			t.Logf("victims: %s", victims)

			names, entries := []string{}, map[string]netip.AddrPort{}
			for _, node := range fleet.Nodes {
				entries[node.Name] = node.Callers
				if node != victims.stopped {
					names = append(names, node.Name)
				}
			}
			callers := mixer.New(names, entries, callers, mixSeed)
			mixing, end := context.WithCancel(ctx)
			defer end()
			var group sync.WaitGroup
			defer group.Wait()
			defer end()
			group.Go(func() { callers.Run(mixing) })
			time.Sleep(500 * time.Millisecond) // Until the service is overloaded.

			planned := time.Now()
			before := stopPlanned(t, victims, callers)
			failing := time.Now()
			failAll(t, fleet, victims)
			recovered := time.Now()
			time.Sleep(1500 * time.Millisecond)
			end()
			group.Wait()

			for _, node := range []*deployer.Node{victims.drained, victims.stopped} {
				records, err := recordsOf(ctx, node)
				is.NoErr(err)
				t.Logf("%s: %d requests %s after it began to leave, %d at the end", node.Name, before[node], few, records.Requests)
				is.Equal(records.Requests, before[node])
				is.True(records.LastAfterDrain <= few)
			}
			items := callers.Calls()
			for _, fault := range mixer.Judge(items, recorded(t, fleet)) {
				t.Error(fault)
			}
			judgePlanned(t, items, planned, failing)
			report(t, "planned stops", items, planned, failing)
			report(t, "failures", items, failing, recovered)
			report(t, "recovery", items, recovered, time.Now())
			for name, phase := range map[string]struct {
				from, to time.Time
				// reads and orders are the least shares of answered calls. While four
				// of the seven or eight instances of a service fail, about half of the
				// orders must be answered. Afterwards the keys of the killed node may
				// stay unknown, one of seven; as much again is left for the callers
				// that make one attempt only.
				reads, orders float64
			}{
				"planned stops": {planned, failing, 1, 0.9},
				"failures":      {failing, recovered, 0.99, 0.5},
				"recovery":      {recovered, time.Now(), 1, 0.7},
			} {
				if share := answeredShare(within(items, phase.from, phase.to, mixer.Status, mixer.Count)); share < phase.reads {
					t.Errorf("%s: %.4f of the interactive reads were answered, %.2f wanted", name, share, phase.reads)
				}
				t.Run("orders during "+name, func(t *testing.T) {
					if share := answeredShare(within(items, phase.from, phase.to, mixer.Order)); share < phase.orders {
						t.Errorf("%.4f of the orders were answered, %.2f wanted", share, phase.orders)
					}
				})
			}
			refused := 0
			for _, item := range within(items, planned, recovered, mixer.Sync) {
				if !item.Answered() {
					refused++
				}
			}
			is.True(refused > 0) // The overload was real.
		})
	}
}

// victims are the nodes that leave or fail, no node twice.
type victims struct {
	// drained is a node whose upstream drains, stopped one that gets SIGTERM.
	drained, stopped *deployer.Node
	// killed and paused are nodes, crashed and stuck nodes whose upstream is
	// killed and paused.
	killed, paused, crashed, stuck *deployer.Node
	// cut is the availability zone whose connections are closed.
	cut string
}

func (v victims) String() string {
	return fmt.Sprintf("drained %s, stopped %s, killed %s, paused %s, crashed upstream %s, stuck upstream %s, cut %s",
		v.drained.Name, v.stopped.Name, v.killed.Name, v.paused.Name, v.crashed.Name, v.stuck.Name, v.cut)
}

// chooseVictims takes three nodes of each service at random. At least half of
// a service stays.
func chooseVictims(fleet *deployer.Fleet, desk, store string) victims {
	random := rand.New(rand.NewPCG(mixSeed, 0))
	take := func(service string) []*deployer.Node {
		nodes := slices.DeleteFunc(slices.Clone(fleet.Nodes), func(n *deployer.Node) bool { return n.Service != service })
		random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		return nodes
	}
	desks, stores := take(desk), take(store)
	return victims{
		drained: stores[0], stopped: desks[0], killed: desks[1], paused: desks[2], crashed: stores[1], stuck: stores[2],
		cut: fleet.Spec.Zones[random.IntN(len(fleet.Spec.Zones))].Name,
	}
}

// stopPlanned drains an upstream and stops a node with calls in flight, and
// returns the number of requests at both upstreams after a few seconds.
func stopPlanned(t *testing.T, v victims, callers *mixer.Mixer) map[*deployer.Node]int {
	t.Helper()
	is := is.New(t)
	ctx := t.Context()
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			told := callers.Send(ctx, v.stopped.Name, &mixer.Call{Kind: mixer.History, ID: fmt.Sprintf("in-flight-%d", i)}, nil)
			if !told.Answered() || !told.Whole {
				t.Errorf("a call in flight at the stopped node: %+v", told)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	is.NoErr(deployer.Put(ctx, v.drained.Control, "/behavior", map[string]any{"state": "draining"}))
	is.NoErr(v.stopped.Process.Signal(syscall.SIGTERM))
	time.Sleep(few)
	group.Wait()
	requests := map[*deployer.Node]int{}
	for _, node := range []*deployer.Node{v.drained, v.stopped} {
		records, err := recordsOf(ctx, node)
		is.NoErr(err)
		is.True(records.Requests > 0)
		requests[node] = records.Requests
	}
	return requests
}

// failAll makes nodes, upstreams and connections fail, and ends all failures.
func failAll(t *testing.T, fleet *deployer.Fleet, v victims) {
	t.Helper()
	is := is.New(t)
	ctx := t.Context()
	v.killed.Process.Kill()
	is.NoErr(v.paused.Process.Signal(syscall.SIGSTOP))
	time.Sleep(500 * time.Millisecond)
	fleet.Partition(v.cut)
	time.Sleep(200 * time.Millisecond)
	fleet.Heal()
	v.crashed.UpstreamProcess.Kill()
	time.Sleep(1300 * time.Millisecond)
	is.NoErr(v.stuck.UpstreamProcess.Signal(syscall.SIGSTOP))
	is.NoErr(fleet.StartNode(ctx, v.killed))
	is.NoErr(fleet.StartUpstream(ctx, v.crashed))
	is.NoErr(fleet.WaitReady(ctx, v.killed))
	time.Sleep(1500 * time.Millisecond)
	is.NoErr(v.stuck.UpstreamProcess.Signal(syscall.SIGCONT))
	time.Sleep(500 * time.Millisecond)
	// The node was silent for longer than its links wait before they are closed.
	is.NoErr(v.paused.Process.Signal(syscall.SIGCONT))
	time.Sleep(500 * time.Millisecond)
}

// recorded adds up the journals of all upstreams.
func recorded(t *testing.T, fleet *deployer.Fleet) mixer.Records {
	t.Helper()
	sum := mixer.Records{Runs: map[string]int{}, Uploads: map[string]int{}}
	for _, node := range fleet.Nodes {
		records, err := fleet.Journal(node)
		if err != nil {
			t.Fatal(err)
		}
		for id, count := range records.Runs {
			sum.Runs[id] += count
		}
		for _, upload := range records.Uploads {
			sum.Uploads[upload]++
		}
	}
	return sum
}

// judgePlanned reports calls that a planned stop interrupted. A call with a key
// can be unknown because its instance left.
func judgePlanned(t *testing.T, items []*mixer.Call, from, to time.Time) {
	t.Helper()
	for _, item := range items {
		for _, told := range item.Attempts {
			moved := item.Kind == mixer.Order && strings.HasPrefix(told.Reason, "key-")
			if told.Result == sycamorerun.Unknown && !moved && told.Began.After(from) && told.Began.Add(told.Took).Before(to) {
				t.Errorf("%s was interrupted during planned stops: %+v", item.ID, told)
			}
		}
	}
}

// within returns the items of some kinds whose attempts all lie in a phase.
func within(items []*mixer.Call, from, to time.Time, kinds ...mixer.Kind) []*mixer.Call {
	return slices.DeleteFunc(slices.Clone(items), func(item *mixer.Call) bool {
		last := item.Attempts[len(item.Attempts)-1]
		return !slices.Contains(kinds, item.Kind) || item.Attempts[0].Began.Before(from) || last.Began.Add(last.Took).After(to)
	})
}

func answeredShare(items []*mixer.Call) float64 {
	answered := 0
	for _, item := range items {
		if item.Answered() {
			answered++
		}
	}
	return float64(answered) / float64(len(items))
}

// report logs how the calls of each kind ended in a phase.
func report(t *testing.T, phase string, items []*mixer.Call, from, to time.Time) {
	t.Helper()
	for _, kind := range []mixer.Kind{mixer.Status, mixer.Count, mixer.Order, mixer.Upload, mixer.History, mixer.Sync} {
		reasons := map[string]int{}
		var took []time.Duration
		phased := within(items, from, to, kind)
		for _, item := range phased {
			for _, told := range item.Attempts {
				if told.Answered() {
					took = append(took, told.Took)
					continue
				}
				reasons[fmt.Sprintf("%s %d %s", told.Result, told.Status, told.Reason)]++
			}
		}
		slices.Sort(took)
		if len(took) == 0 {
			took = append(took, 0)
		}
		t.Logf("%s, %s: %d calls, %.4f answered, p50 %s, p99 %s; attempts not answered: %v", phase, kind, len(phased),
			answeredShare(phased), took[len(took)/2].Round(time.Millisecond), took[len(took)*99/100].Round(time.Millisecond), reasons)
	}
}
