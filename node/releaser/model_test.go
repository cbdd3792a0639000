package releaser

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// model is a service with upstreams of two releases, the nodes that call it and a
// store, without a network.
type model struct {
	random   *rand.Rand
	now      time.Time
	order    Order
	record   Record
	nodes    []*modelNode
	members  []sycamorerun.Instance
	running  map[string]int
	speed    map[string]float64
	grey     map[string]bool
	fault    fault
	rate     float64
	started  time.Time
	ends     endHeap
	deciders []*Decider
	// storeDown is set while store calls fail.
	storeDown func(elapsed time.Duration) bool
	// cutOff says that a node gets no decisions.
	cutOff func(node int, elapsed time.Duration) bool

	calls, exposed, bad int
	fiftieth, last      time.Time
	exposedAtFiftieth   int
	worst               float64
	ended               time.Duration
}

// fault is how the new release is bad.
type fault struct {
	share float64
	// slow makes a bad call slow instead of an error.
	slow bool
	// load is the number of running calls from which calls are bad.
	load int
	// rank limits the bad calls to one kind.
	rank int
	// after is the age from which the release is bad.
	after time.Duration
}

type modelNode struct {
	name string
	gate *Gate
	boot int
	next time.Time
}

type end struct {
	at      time.Time
	node    *modelNode
	gate    *Gate
	attempt Attempt
	counts  bool
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	modelShare    = 0.1
	modelSlack    = 50
	modelRollback = 5 * time.Second
	modelSlots    = 6
	modelDuration = 15 * time.Second
	modelTick     = 50 * time.Millisecond
	oldRelease    = "v1"
	newRelease    = "v2"
)

func newModel(seed uint64, upstreams, nodes int, utilization float64, f fault) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), running: map[string]int{},
		speed: map[string]float64{}, grey: map[string]bool{}, fault: f,
		storeDown: func(time.Duration) bool { return false },
		cutOff:    func(int, time.Duration) bool { return false },
	}
	m.started = m.now
	m.order = Order{
		Rollout: sycamorerun.Rollout{Release: newRelease, Duration: sycamorerun.Duration(modelDuration)}, Service: "s", Name: "s", ID: 7, Revision: 1,
	}
	m.rate = utilization * float64(upstreams*modelSlots) / meanTime.Seconds()
	for i := range upstreams {
		m.addUpstream(oldRelease, i, m.now.Add(-time.Hour))
		m.addUpstream(newRelease, i, m.now)
	}
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		m.nodes = append(m.nodes, &modelNode{name: name, gate: NewGate(m.now, name), next: m.now.Add(time.Duration(m.random.IntN(1000)) * time.Millisecond)})
	}
	m.deciders = []*Decider{NewDecider(modelShare)}
	return m
}

// meanTime is the mean run time of a call in the model.
const meanTime = 150 * time.Millisecond

func (m *model) addUpstream(release string, i int, since time.Time) {
	name := fmt.Sprintf("%s-%d", release, i)
	m.members = append(m.members, sycamorerun.Instance{
		Name: name, Release: release, Service: "s", Slots: modelSlots, State: sycamorerun.StateReady, Since: since,
		Region: strconv.Itoa(i % 3), AvailabilityZone: strconv.Itoa(i % 6),
	})
	m.speed[name] = []float64{0.7, 0.7, 1.6}[m.random.IntN(3)]
}

func (m *model) elapsed() time.Duration { return m.now.Sub(m.started) }

// run plays the rollout until some time after its duration.
func (m *model) run() {
	for m.elapsed() < modelDuration+3*time.Second {
		m.now = m.now.Add(modelTick)
		for len(m.ends) > 0 && !m.ends[0].at.After(m.now) {
			m.finish(heap.Pop(&m.ends).(end))
		}
		for i, n := range m.nodes {
			if !m.now.Before(n.next) {
				n.next = n.next.Add(reportPeriod)
				m.report(i, n)
			}
		}
		if m.elapsed()%stepInterval == 0 {
			m.decide()
		}
		wanted := m.rate * modelTick.Seconds()
		count := int(wanted)
		if m.random.Float64() < wanted-float64(count) {
			count++
		}
		for range count {
			m.call(m.nodes[m.random.IntN(len(m.nodes))])
		}
	}
}

func (m *model) service(string) []sycamorerun.Instance { return m.members }

// decide lets the deciders store their steps. The store keeps the first.
func (m *model) decide() {
	for _, d := range m.deciders {
		if m.storeDown(m.elapsed()) {
			d.Step(m.now, m.service)
			continue
		}
		d.SetOrders(m.now, []Order{m.order})
		for _, o := range d.Unloaded() {
			d.SetRecord(o, m.record)
		}
		for _, step := range d.Step(m.now, m.service) {
			if m.record.Phase != step.Record.Phase && m.record.Phase == step.From && follows(m.record.Phase, step.Record.Phase) {
				m.record = step.Record
			}
			d.SetRecord(step.Order, m.record)
			if state := states[m.record.Phase]; state != m.order.State && !m.order.ended() {
				m.order.State, m.order.Revision = state, m.order.Revision+1
				if m.order.ended() {
					m.ended = m.elapsed()
				}
				if state == sycamorerun.RolloutCompleted {
					m.members = filter(m.members, func(i sycamorerun.Instance) bool { return i.Release == newRelease })
				}
			}
		}
	}
}

func (m *model) report(i int, n *modelNode) {
	ask := n.gate.Learn(map[string][]sycamorerun.Instance{"s": m.members})
	if len(ask) == 0 || m.cutOff(i, m.elapsed()) {
		return
	}
	d := m.deciders[i%len(m.deciders)]
	d.Report(m.now, fmt.Sprintf("%s/%d", n.name, n.boot), n.gate.Progress(m.now, ask))
	if next, ok := d.decide(m.now, "s", m.members); ok {
		n.gate.Update(m.now, []decision{decodeDecision(encodeDecision(next))})
	}
}

// call sends a call to the less loaded of two upstreams.
func (m *model) call(n *modelNode) {
	to, ok := n.gate.Pick(m.now, "s", false, m.members, func(allowed []sycamorerun.Instance) (sycamorerun.Instance, bool) {
		if len(allowed) == 0 {
			return sycamorerun.Instance{}, false
		}
		a, b := allowed[m.random.IntN(len(allowed))], allowed[m.random.IntN(len(allowed))]
		if m.running[b.Name] < m.running[a.Name] {
			return b, true
		}
		return a, true
	})
	if !ok {
		return
	}
	ended := m.order.ended()
	if !ended {
		m.calls++
	}
	rank := 1 + m.random.IntN(2)
	took := time.Duration((0.7 + 0.6*m.random.Float64()) * float64(meanTime) / m.speed[to.Name])
	if m.random.Float64() < 0.01 {
		took *= 5
	}
	took += time.Duration(float64(meanTime) * float64(max(0, m.running[to.Name]-modelSlots)) / modelSlots)
	failed := m.random.Float64() < 0.003 || m.grey[to.Name] && m.random.Float64() < 0.4
	bad := false
	if to.Release == newRelease {
		if !ended {
			m.exposed++
			m.worst = max(m.worst, float64(m.exposed)-modelShare*float64(m.calls))
			m.last = m.now
			if bad = m.fault.hits(m, to, rank); bad && m.fault.slow {
				took *= 8
			}
			failed = failed || bad && !m.fault.slow
		}
	}
	m.running[to.Name]++
	heap.Push(&m.ends, end{at: m.now.Add(took), node: n, gate: n.gate, counts: bad, attempt: Attempt{Service: "s", Instance: to.Name, Rank: rank, Took: took, Failed: failed}})
}

func (f fault) hits(m *model, to sycamorerun.Instance, rank int) bool {
	return f.share > 0 && m.random.Float64() < f.share && (f.rank == 0 || rank == f.rank) &&
		m.running[to.Name] >= f.load && m.elapsed() >= f.after
}

func (m *model) finish(e end) {
	m.running[e.attempt.Instance]--
	e.gate.Observe(e.attempt)
	if e.counts {
		if m.bad++; m.bad == modelSlack {
			m.fiftieth = m.now
		}
	}
}

// broken returns how the bound on exposed calls was broken, or an empty string.
func (m *model) broken() string {
	switch {
	case m.fault.share == 0:
		return ""
	case m.worst > modelSlack:
		return fmt.Sprintf("%d of %d calls exposed", m.exposed, m.calls)
	case !m.fiftieth.IsZero() && m.last.Sub(m.fiftieth) > modelRollback:
		return fmt.Sprintf("exposed for %s after the 50th bad answer", m.last.Sub(m.fiftieth))
	}
	return ""
}

func modelSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("ROLLOUT_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 2
}

// TestRollouts guards against a bad release that is taken or gets too many calls, and
// against a good one that is given up. ROLLOUT_SEEDS sets the number of seeds.
func TestRollouts(t *testing.T) {
	grey := func(m *model) {
		for _, i := range m.members {
			m.grey[i.Name] = m.random.Float64() < 0.05
		}
	}
	killed := func(m *model) {
		m.cutOff = func(i int, elapsed time.Duration) bool { return elapsed > 4*time.Second && i%3 == 0 }
	}
	for name, test := range map[string]struct {
		fault  fault
		change func(*model)
		// mayGiveUp is set if a good release may be given up: with two deciders
		// throughout, each knows only half of the calls.
		mayGiveUp bool
		// more lists seeds beside the first ones that failed earlier.
		more []uint64
	}{
		"good":               {},
		"good, bad machines": {change: grey},
		"good, nodes cut":    {change: killed},
		"good, two deciders": {change: func(m *model) { m.deciders = append(m.deciders, NewDecider(modelShare)) }, mayGiveUp: true},
		"errors":             {fault: fault{share: 0.5}},
		"few errors":         {fault: fault{share: 0.3}},
		"slow":               {fault: fault{share: 0.5, slow: true}},
		"one kind":           {fault: fault{share: 0.3, rank: 2}},
		"late":               {fault: fault{share: 0.5, after: 3 * time.Second}},
		"under load":         {fault: fault{share: 0.5, load: 4}, more: []uint64{17, 43, 45, 89}},
		"errors, machines":   {fault: fault{share: 0.5}, change: grey},
		"errors, nodes cut":  {fault: fault{share: 0.5}, change: killed},
		"errors, store down": {fault: fault{share: 0.5, after: 4 * time.Second}, change: func(m *model) {
			m.storeDown = func(elapsed time.Duration) bool { return elapsed > 3*time.Second && elapsed < 9*time.Second }
		}},
		"errors, two deciders": {fault: fault{share: 0.5}, change: func(m *model) { m.deciders = append(m.deciders, NewDecider(modelShare)) }},
		"errors, new decider": {fault: fault{share: 0.5, after: 3 * time.Second}, change: func(m *model) {
			m.cutOff = func(int, time.Duration) bool {
				if m.elapsed()%(2*time.Second) < modelTick {
					m.deciders[0] = NewDecider(modelShare)
				}
				return false
			}
		}},
	} {
		for load, utilization := range map[string]float64{"light": 0.3, "heavy": 0.65} {
			t.Run(name+"/"+load, func(t *testing.T) {
				is := is.New(t)
				wrong, broken := 0, 0
				var latest time.Duration
				excess := 0.0
				seeds := slices.Clone(test.more)
				for seed := range modelSeeds() {
					seeds = append(seeds, seed)
				}
				for _, seed := range seeds {
					m := newModel(seed, 41, 89, utilization, test.fault)
					if test.change != nil {
						test.change(m)
					}
					m.run()
					want := sycamorerun.RolloutCompleted
					if test.fault.share > 0 {
						want = sycamorerun.RolloutRolledBack
					}
					if m.order.State != want || m.ended > modelDuration {
						wrong++
						t.Logf("seed %d: %s after %s: %s", seed, m.order.State, m.ended, m.record.Reason)
					}
					if b := m.broken(); b != "" {
						broken++
						t.Logf("seed %d: %s", seed, b)
					}
					latest, excess = max(latest, m.ended), max(excess, m.worst)
				}
				t.Logf("%d seeds: %d wrong, %d bounds broken, last verdict after %s, at most %.0f calls beyond the share", len(seeds), wrong, broken, latest, excess)
				is.Equal(broken, 0)
				if !test.mayGiveUp {
					is.Equal(wrong, 0)
				}
			})
		}
	}
}
