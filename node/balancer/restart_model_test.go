package balancer

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"sycamorerun"
	"sycamorerun/node/retrier"
)

const (
	modelWork     = 40 * time.Millisecond
	modelInterval = 10 * time.Millisecond
	modelLength   = 20 * time.Second
	// slowestAnnouncement is the longest time from the start of a process until its
	// upstream announces itself, recordTime the time in which a record spreads, beside
	// that of the link.
	slowestAnnouncement = 1500 * time.Millisecond
	recordTime          = 20 * time.Millisecond
)

// restartModel plays calls of one node to the upstreams of a service over a model of
// links and time. The nodes beside the upstreams are killed and started again; the
// upstreams run on. The balancer and the retrier decide.
type restartModel struct {
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	balancer *Balancer
	retrier  *retrier.Retrier
	nodes    []*modelNode
	// answered, lost and refused count the calls by their end, refusedWith those that
	// were refused although an instance could take them from their arrival on.
	answered, lost, refused, refusedWith int
	restarts                             int
}

// modelNode is the node beside an upstream.
type modelNode struct {
	delay time.Duration
	// up says that the process runs, ready that its upstream has announced itself.
	up, ready bool
	boot      uint32
	// record is the last one that the node published, visible the one that the
	// caller's node sees.
	record, visible sycamorerun.Instance
	// session is the boot that the caller's session leads to, or zero.
	session uint32
	// inFlight holds the attempts that are lost with the session.
	inFlight map[*modelAttempt]struct{}
}

type modelAttempt struct {
	// able are the instances that could take the call when it arrived.
	able    []sycamorerun.Instance
	tried   []string
	picked  sycamorerun.Instance
	started time.Time
	done    bool
}

func (m *restartModel) after(d time.Duration, run func()) {
	heap.Push(&m.events, event{m.now.Add(d), func(time.Time) { run() }})
}

func newRestartModel(seed uint64) *restartModel {
	m := &restartModel{random: rand.New(rand.NewPCG(seed, 7)), now: start}
	delay := []time.Duration{0, 3, 20, 80}[m.random.IntN(4)] * time.Millisecond
	var instances []sycamorerun.Instance
	for i := range 2 + m.random.IntN(4) {
		region := "r" + strconv.Itoa(1+i%3)
		instance := newInstance("n"+strconv.Itoa(i), region, "z1")
		instance.Incarnation, instance.Sequence = sycamorerun.NewIncarnation(1), 1
		n := &modelNode{up: true, ready: true, boot: 1, session: 1, record: instance, visible: instance, inFlight: map[*modelAttempt]struct{}{}}
		if region != "r1" {
			n.delay = delay
		}
		m.nodes = append(m.nodes, n)
		instances = append(instances, instance)
	}
	m.balancer = newBalancer(nil)
	m.balancer.Random = m.random.Float64
	m.balancer.Instances = func(string) []sycamorerun.Instance {
		for i, n := range m.nodes {
			instances[i] = n.visible
		}
		return instances
	}
	m.retrier = retrier.New(func(string) float64 { return 0.2 })
	m.retrier.Random = m.random.Int64N
	return m
}

// kill ends the process of a node and starts the next one after a while.
func (m *restartModel) kill(n *modelNode, away time.Duration) {
	if !n.up {
		return
	}
	m.restarts++
	n.up, n.ready = false, false
	dead := n.boot
	m.after(n.delay, func() { m.loseSession(n, dead) })
	m.after(away, func() {
		n.up = true
		n.boot++
		m.publish(n, sycamorerun.StateNone)
		boot := n.boot
		m.after(time.Duration(m.random.Int64N(int64(slowestAnnouncement))), func() {
			if n.up && n.boot == boot {
				n.ready = true
				m.publish(n, sycamorerun.StateReady)
			}
		})
	})
}

// publish spreads the record of a node.
func (m *restartModel) publish(n *modelNode, state sycamorerun.State) {
	n.record.Incarnation = sycamorerun.NewIncarnation(n.boot)
	n.record.Sequence++
	n.record.State = state
	next := n.record
	m.after(n.delay+recordTime, func() { n.visible = next })
}

// loseSession ends the session to a process that has ended, with all its calls.
func (m *restartModel) loseSession(n *modelNode, boot uint32) {
	if n.session != boot {
		return
	}
	n.session = 0
	lost := n.inFlight
	n.inFlight = map[*modelAttempt]struct{}{}
	for _, a := range sortedAttempts(lost) {
		m.end(n, a, sycamorerun.Unknown, "peer-lost")
	}
}

// send sends an attempt of a call, over a new session if there is none.
func (m *restartModel) send(a *modelAttempt) {
	picked, ok := m.balancer.Pick(m.now, Query{Service: "s", Tried: a.tried})
	if !ok {
		m.refuse(a)
		return
	}
	a.picked, a.started, a.done = picked, m.now, false
	n := m.nodes[int(picked.Name[1]-'0')]
	if n.session != 0 {
		m.deliver(n, a)
		return
	}
	m.after(n.delay, func() {
		if !n.up {
			m.after(n.delay, func() { m.end(n, a, sycamorerun.NotRun, "peer-unreachable") })
			return
		}
		boot := n.boot
		m.after(n.delay, func() {
			if n.session = boot; !n.up || n.boot != boot {
				m.after(0, func() { m.loseSession(n, boot) })
			}
			m.deliver(n, a)
		})
	})
}

// deliver carries an attempt over the session and plays what the process does with it.
func (m *restartModel) deliver(n *modelNode, a *modelAttempt) {
	boot := n.session
	n.inFlight[a] = struct{}{}
	answer := func(result sycamorerun.Result, reason string) {
		if n.up && n.boot == boot {
			m.after(n.delay, func() { m.end(n, a, result, reason) })
		}
	}
	m.after(n.delay, func() {
		switch {
		case !n.up || n.boot != boot:
		case !n.ready:
			answer(sycamorerun.NotRun, "draining")
		default:
			m.after(modelWork, func() { answer(sycamorerun.Answered, "") })
		}
	})
}

// end ends an attempt, and its call unless it is sent again.
func (m *restartModel) end(n *modelNode, a *modelAttempt, result sycamorerun.Result, reason string) {
	if a.done {
		return
	}
	a.done = true
	delete(n.inFlight, a)
	o := Observation{Instance: a.picked.Name, Service: "s", Result: result, Reason: reason, Load: &Load{Slots: 6}}
	o.Incarnation, o.Sequence, o.Started = a.picked.Incarnation, a.picked.Sequence, a.started
	if result == sycamorerun.Answered {
		o.Status = 200
	} else {
		o.Load = nil
	}
	m.balancer.Observe(m.now, o)
	switch result {
	case sycamorerun.Answered:
		m.answered++
		return
	case sycamorerun.Unknown:
		m.lost++
		return
	}
	a.tried = append(a.tried, a.picked.Name)
	delay, again := m.retrier.Allow(m.now, retrier.Attempt{Service: "s", Number: len(a.tried), Result: result})
	if !again {
		m.refuse(a)
		return
	}
	m.after(delay, func() { m.send(a) })
}

func (m *restartModel) refuse(a *modelAttempt) {
	m.refused++
	still := m.able()
	sameRun := func(instance sycamorerun.Instance) bool {
		return slices.ContainsFunc(still, func(other sycamorerun.Instance) bool {
			return other.Name == instance.Name && other.Incarnation == instance.Incarnation
		})
	}
	if slices.ContainsFunc(a.able, sameRun) {
		m.refusedWith++
	}
}

// able returns the instances to which the caller's node has a session, and which take
// calls as far as it knows and in fact.
func (m *restartModel) able() []sycamorerun.Instance {
	var able []sycamorerun.Instance
	for _, n := range m.nodes {
		if n.ready && n.session == n.boot && n.visible.Serving() && n.visible.Incarnation.Boot() == n.boot {
			able = append(able, n.visible)
		}
	}
	return able
}

// run plays calls that can't be repeated and restarts: once, in series, by turns or of
// all nodes at once, back after 1 ms to 5 s.
func (m *restartModel) run() {
	away := time.Duration(float64(time.Millisecond) * []float64{1, 10, 100, 600, 5000}[m.random.IntN(5)] * (0.5 + m.random.Float64()/2))
	pause := time.Duration(1+m.random.IntN(6)) * time.Second
	pattern := m.random.IntN(4)
	for at, turn := 3*time.Second, 0; at < modelLength-6*time.Second; at, turn = at+pause, turn+1 {
		victims := []*modelNode{m.nodes[turn%len(m.nodes)]}
		switch pattern {
		case 0:
			victims = m.nodes[:1]
		case 1:
			victims = m.nodes
		case 2:
			victims = m.nodes[:2]
		}
		for _, n := range victims {
			m.after(at, func() { m.kill(n, away) })
		}
	}
	for at := time.Duration(0); at < modelLength; at += modelInterval {
		m.after(at, func() {
			m.retrier.RecordCall(m.now, "s")
			m.send(&modelAttempt{able: m.able()})
		})
	}
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.do(m.now)
	}
}

// TestRestarts guards against sound upstreams that stay out of use after restarts of the
// nodes beside them: calls are refused only while no process that takes calls is known.
// What is lost ran in the process that ended, or was on its way there. RESTART_SEEDS sets
// the number of seeds.
func TestRestarts(t *testing.T) {
	seeds, _ := strconv.ParseUint(os.Getenv("RESTART_SEEDS"), 10, 64)
	seeds = max(seeds, 200)
	var refused, refusedWith, lost, calls, restarts int
	for seed := range seeds {
		m := newRestartModel(seed)
		m.run()
		refused, lost, restarts = refused+m.refused, lost+m.lost, restarts+m.restarts
		refusedWith += m.refusedWith
		calls += m.answered + m.lost + m.refused
		// A call may use up its attempts at processes that are found to have ended.
		if m.refusedWith > m.restarts {
			t.Errorf("seed %d: %d calls refused although an instance could take them", seed, m.refusedWith)
		}
	}
	t.Logf("%d calls, %d restarts: for each restart %.2f refused (%.2f although an instance could take them), %.2f lost",
		calls, restarts, float64(refused)/float64(restarts), float64(refusedWith)/float64(restarts), float64(lost)/float64(restarts))
}

// sortedAttempts returns attempts in the order in which they were sent, so that a seed
// plays the same way each time.
func sortedAttempts(set map[*modelAttempt]struct{}) []*modelAttempt {
	attempts := slices.Collect(maps.Keys(set))
	slices.SortFunc(attempts, func(a, b *modelAttempt) int {
		return cmp.Or(a.started.Compare(b.started), cmp.Compare(len(a.tried), len(b.tried)))
	})
	return attempts
}
