package balancer

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// event is a step of a modelFleet that is due at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	modelRun       = 100 * time.Millisecond
	modelObjective = 500 * time.Millisecond
	modelTries     = 4
)

// modelUpstream has 6 slots and a queue with a bounded wait.
type modelUpstream struct {
	running int
	queue   []func(now time.Time)
}

// modelFleet has three regions with upstreams and one node each, which sends the calls
// that enter in the region.
type modelFleet struct {
	events    eventQueue
	instances []sycamorerun.Instance
	upstreams map[string]*modelUpstream
	nodes     map[string]*Balancer
	random    *rand.Rand
	bytes     int64
	// calls are all calls, sentFar the attempts and answeredFar the answers between
	// regions.
	calls, answered, sentFar, answeredFar int
}

func newModelFleet(perRegion int) *modelFleet {
	m := &modelFleet{upstreams: map[string]*modelUpstream{}, nodes: map[string]*Balancer{}, random: rand.New(rand.NewPCG(1, 2)), bytes: 500}
	for _, region := range []string{"r1", "r2", "r3"} {
		m.instances = append(m.instances, newInstances(region, "z1", perRegion)...)
	}
	for _, instance := range m.instances {
		m.upstreams[instance.Name] = &modelUpstream{}
		if m.nodes[instance.Region] == nil {
			node := New("z1", instance.Region)
			node.Instances = func(string) []sycamorerun.Instance { return m.instances }
			node.Random = m.random.Float64
			m.nodes[instance.Region] = node
		}
	}
	return m
}

func (m *modelFleet) after(now time.Time, delay time.Duration, do func(now time.Time)) {
	heap.Push(&m.events, event{now.Add(delay), do})
}

// run sends calls for a time at the given rate per second to each region.
func (m *modelFleet) run(duration time.Duration, rates map[string]float64) {
	for _, region := range slices.Sorted(maps.Keys(rates)) {
		rate := rates[region]
		var arrive func(now time.Time)
		arrive = func(now time.Time) {
			m.calls++
			m.send(now, region, Query{Service: "s", Rank: 1, Objective: modelObjective})
			if now.Before(start.Add(duration)) {
				m.after(now, time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), arrive)
			}
		}
		m.after(start, 0, arrive)
	}
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(event)
		next.do(next.at)
	}
}

func (m *modelFleet) send(now time.Time, region string, query Query) {
	node := m.nodes[region]
	to, ok := node.Pick(now, query)
	if !ok || len(query.Tried) >= modelTries {
		return
	}
	far := to.Region != region
	delay := time.Millisecond
	if far {
		delay = 20 * time.Millisecond
		m.sentFar++
	}
	m.after(now, delay, func(now time.Time) {
		m.receive(now, to.Name, func(now time.Time, load *Load, reason string) {
			m.after(now, delay, func(now time.Time) {
				observation := Observation{Instance: to.Name, Service: "s", Load: load, Rank: 1, Objective: modelObjective, Bytes: m.bytes}
				if reason != "" {
					observation.Result, observation.Reason, observation.After = sycamorerun.NotRun, reason, modelRun/2
				} else {
					observation.Result, observation.Status = sycamorerun.Answered, 200
				}
				node.Observe(now, observation)
				switch {
				case reason != "":
					query.Tried, query.LastReason = append(slices.Clone(query.Tried), to.Name), reason
					m.send(now, region, query)
				case far:
					m.answeredFar++
					fallthrough
				default:
					m.answered++
				}
			})
		})
	})
}

// receive runs a call, queues it or refuses it.
func (m *modelFleet) receive(now time.Time, name string, answer func(time.Time, *Load, string)) {
	u := m.upstreams[name]
	load := func() *Load {
		return &Load{Running: u.running, Queued: len(u.queue), Slots: 6, RunTime: modelRun}
	}
	if bound := scale(modelObjective, maxWaitFraction); u.running >= 6 && scale(modelRun, float64(len(u.queue))/6) > bound {
		answer(now, load(), "busy")
		return
	}
	begin := func(now time.Time) {
		u.running++
		m.after(now, scale(modelRun, 0.5+m.random.Float64()), func(now time.Time) {
			u.running--
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next(now)
			}
			answer(now, load(), "")
		})
	}
	if u.running >= 6 {
		u.queue = append(u.queue, begin)
		return
	}
	begin(now)
}

// TestReach guards against calls that are sent to other regions in vain, and against
// regions that are full beside others that are not. A region runs 360 calls a second.
func TestReach(t *testing.T) {
	cases := map[string]struct {
		rates map[string]float64
		bytes int64
		// answered is the least share of the calls that is answered, and sent the
		// largest number of attempts between regions per call.
		answered, sent float64
	}{
		"usual load":        {map[string]float64{"r1": 200, "r2": 250, "r3": 280}, 500, 1, 0},
		"all are full":      {map[string]float64{"r1": 540, "r2": 540, "r3": 540}, 500, 0.65, 0.01},
		"one is full":       {map[string]float64{"r1": 600, "r2": 150, "r3": 150}, 500, 0.98, 0.3},
		"full, large calls": {map[string]float64{"r1": 600, "r2": 150, "r3": 150}, 150000, 0.7, 0.01},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newModelFleet(6)
			m.bytes = c.bytes
			m.run(10*time.Second, c.rates)
			answered, sent := float64(m.answered)/float64(m.calls), float64(m.sentFar)/float64(m.calls)
			t.Logf("%d calls, %.3f answered, %.3f attempts to other regions, %.3f answered there", m.calls, answered, sent, float64(m.answeredFar)/float64(m.calls))
			is.True(answered >= c.answered)
			is.True(sent <= c.sent)
		})
	}
}

// TestRetriesStayNear guards against a call that other regions refuse in turn, against
// retries that leave the region although nothing is known of others, and against a
// call that stays in a region that can't run it.
func TestRetriesStayNear(t *testing.T) {
	near, far := newInstances("r1", "z1", 2), append(newInstances("r2", "z1", 2), newInstances("r3", "z1", 2)...)
	all := append(slices.Clone(near), far...)
	idle := Observation{Result: sycamorerun.Answered, Status: 200, Load: &Load{Slots: 6}}
	busy := Observation{Result: sycamorerun.NotRun, Reason: "busy", After: time.Second}
	lost := Observation{Result: sycamorerun.NotRun, Reason: "peer-unreachable"}
	cases := map[string]struct {
		seen map[string]Observation
		age  time.Duration
		// explored says that the other regions were tried a moment ago.
		explored bool
		tried    []string
		reason   string
		want     string
	}{
		"first attempt":             {nil, 0, false, nil, "", "r1"},
		"refused once":              {nil, 0, false, []string{"r1z10"}, "busy", "r1"},
		"refused by all":            {nil, 0, true, []string{"r1z10", "r1z11"}, "busy", ""},
		"room elsewhere":            {map[string]Observation{"r2z10": idle}, 0, true, []string{"r1z10", "r1z11"}, "busy", "r2"},
		"room elsewhere long ago":   {map[string]Observation{"r2z10": idle}, farReportTTL, true, []string{"r1z10", "r1z11"}, "busy", ""},
		"no room elsewhere":         {map[string]Observation{"r2z10": busy, "r3z10": busy}, 0, false, []string{"r1z10", "r1z11"}, "busy", ""},
		"refused elsewhere":         {map[string]Observation{"r2z10": idle}, 0, false, []string{"r1z10", "r3z10"}, "busy", "r1"},
		"refused elsewhere and all": {map[string]Observation{"r2z10": idle}, 0, false, []string{"r1z10", "r1z11", "r3z10"}, "busy", ""},
		"failed at all":             {nil, 0, true, []string{"r1z10", "r1z11"}, "upstream-broken", "r"},
		"none can be reached":       {map[string]Observation{"r1z10": lost, "r1z11": lost}, 0, true, nil, "", "r"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(all)
			for instance, observation := range c.seen {
				observation.Instance, observation.Service = instance, "s"
				b.Observe(start, observation)
			}
			now := start.Add(c.age)
			if c.explored {
				for _, region := range []string{"r2", "r3"} {
					b.explorations[regionKey{"s", region}] = &exploration{next: now.Add(time.Second), interval: time.Second}
				}
			}
			picked, ok := b.Pick(now, Query{Service: "s", Tried: c.tried, LastReason: c.reason})
			is.Equal(ok, c.want != "")
			is.True(strings.HasPrefix(picked.Name, c.want))
			is.True(!slices.Contains(c.tried, picked.Name))
		})
	}
}

// TestExploration guards against regions that are asked for capacity over and over
// while they have none, and against regions that are never asked again.
func TestExploration(t *testing.T) {
	is := is.New(t)
	all := append(newInstances("r1", "z1", 1), newInstances("r2", "z1", 4)...)
	b := newBalancer(all)
	sent := 0
	for ms := range 20000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b.Observe(now, Observation{Instance: "r1z10", Result: sycamorerun.NotRun, Reason: "busy", After: time.Second})
		picked, ok := b.Pick(now, Query{Service: "s", Tried: []string{"r1z10"}, LastReason: "busy"})
		if ok {
			sent++
			b.Observe(now, Observation{Instance: picked.Name, Result: sycamorerun.NotRun, Reason: "busy", After: time.Second})
		}
	}
	is.True(sent >= 5 && sent <= 12)
}

// TestExplorationStartsAgain guards against a region that is asked for capacity too
// rarely because it had none in an earlier shortage, for example while it was cut off,
// and against state of services that are gone.
func TestExplorationStartsAgain(t *testing.T) {
	is := is.New(t)
	all := append(newInstances("r1", "z1", 1), newInstances("r2", "z1", 40)...)
	b := newBalancer(all)
	shortage := func(from time.Time, duration time.Duration) int {
		sent := 0
		for ms := range duration.Milliseconds() {
			now := from.Add(time.Duration(ms) * time.Millisecond)
			b.Observe(now, Observation{Instance: "r1z10", Result: sycamorerun.NotRun, Reason: "busy", After: time.Second})
			picked, ok := b.Pick(now, Query{Service: "s", Tried: []string{"r1z10"}, LastReason: "busy"})
			if ok {
				sent++
				b.Observe(now, Observation{Instance: picked.Name, Result: sycamorerun.NotRun, Reason: "busy", After: time.Second})
			}
		}
		return sent
	}
	first := shortage(start, 20*time.Second)
	is.True(first >= 5 && first <= 12)
	is.True(shortage(start.Add(time.Minute), 2*time.Second) >= 3)

	b.Pick(start.Add(time.Hour), Query{Service: "s"})
	is.Equal(len(b.explorations), 0)
}

// Guards against a call that is sent nowhere although it has been chosen to learn about
// another region, since only a part of the calls may leave this one.
func TestExplorationIsSent(t *testing.T) {
	is := is.New(t)
	all := append(newInstances("r1", "z1", 1), newInstances("r2", "z1", 2)...)
	for n := range 200 {
		b := newBalancer(all)
		b.Random = rand.New(rand.NewPCG(uint64(n), 1)).Float64
		// A large response, of which only a part leaves the region.
		b.Observe(start, Observation{Instance: "r1z10", Service: "s", Result: sycamorerun.Answered, Bytes: 200 << 10})
		b.Observe(start, Observation{Instance: "r1z10", Service: "s", Result: sycamorerun.NotRun, Reason: "busy", After: time.Second})
		_, ok := b.Pick(start, Query{Service: "s"})
		is.True(ok) // the instance of the region can be asked, if no other one is
	}
}
