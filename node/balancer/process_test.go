package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// TestRestartedProcess guards against an instance that is out of use although its
// present process is sound, because of what earlier processes or lost sessions did, and
// against one that stays in use although process after process loses its calls.
func TestRestartedProcess(t *testing.T) {
	const ms = time.Millisecond
	lost := Observation{Result: sycamorerun.Unknown, Reason: "peer-lost"}
	cut := Observation{Result: sycamorerun.NotRun, Reason: "peer-not-started"}
	unreachable := Observation{Result: sycamorerun.NotRun, Reason: "peer-unreachable"}
	draining := Observation{Result: sycamorerun.NotRun, Reason: "draining"}
	// event is an observation at a time or, with a boot, a new record.
	type event struct {
		at          time.Duration
		observation Observation
		times       int
		started     time.Duration
		boot        uint32
		sequence    uint64
	}
	cases := map[string]struct {
		events []event
		used   bool
	}{
		"calls lost with one process": {[]event{{at: 20 * ms, observation: lost, times: 10}}, true},
		"calls lost with two": {[]event{
			{at: 20 * ms, observation: lost, times: 10},
			{at: 60 * ms, started: 40 * ms, observation: lost, times: 10},
		}, true},
		"calls lost with three": {[]event{
			{at: 20 * ms, observation: lost, times: 10},
			{at: 60 * ms, started: 40 * ms, observation: lost, times: 10},
			{at: 100 * ms, started: 80 * ms, observation: lost},
		}, false},
		"calls lost with three, in spite of new records": {[]event{
			{at: 20 * ms, observation: lost},
			{at: 30 * ms, boot: 2},
			{at: 60 * ms, started: 40 * ms, observation: lost},
			{at: 70 * ms, boot: 3},
			{at: 100 * ms, started: 80 * ms, observation: lost},
			{at: 110 * ms, boot: 4},
		}, false},
		"calls answered between": {[]event{
			{at: 20 * ms, observation: lost},
			{at: 40 * ms, started: 30 * ms, observation: Observation{Result: sycamorerun.Answered, Status: 200}},
			{at: 60 * ms, started: 50 * ms, observation: lost},
			{at: 100 * ms, started: 80 * ms, observation: lost},
		}, true},
		"calls lost with three, then answered": {[]event{
			{at: 20 * ms, observation: lost},
			{at: 60 * ms, started: 40 * ms, observation: lost},
			{at: 100 * ms, started: 80 * ms, observation: lost},
			{at: 140 * ms, started: 110 * ms, observation: Observation{Result: sycamorerun.Answered, Status: 200}},
		}, true},
		"session cut before calls started": {[]event{{at: 20 * ms, observation: cut, times: 10}}, true},
		"can't be reached":                 {[]event{{at: 20 * ms, observation: unreachable}}, false},
		"couldn't be reached, new process": {[]event{{at: 20 * ms, observation: unreachable}, {at: 30 * ms, boot: 2}}, true},
		"couldn't be reached, new state":   {[]event{{at: 20 * ms, observation: unreachable}, {at: 30 * ms, boot: 1, sequence: 2}}, false},
		"late failure of an earlier process": {[]event{
			{at: 20 * ms, boot: 2}, {at: 30 * ms, observation: unreachable}, {at: 40 * ms, observation: draining},
		}, true},
		"has no upstream yet":            {[]event{{at: 20 * ms, observation: draining}}, false},
		"had no upstream, has announced": {[]event{{at: 20 * ms, observation: draining}, {at: 30 * ms, boot: 2}}, true},
		"had drained, is ready again":    {[]event{{at: 20 * ms, observation: draining}, {at: 30 * ms, boot: 1, sequence: 2}}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			instances := newInstances("r1", "z1", 2)
			instances[0].Incarnation, instances[0].Sequence = sycamorerun.NewIncarnation(1), 1
			b := newBalancer(instances)
			picked := instances[0]
			b.Chances(start, Query{Service: "s"})
			now := start
			for _, e := range c.events {
				now = start.Add(e.at)
				if e.boot != 0 {
					instances[0].Incarnation, instances[0].Sequence = sycamorerun.NewIncarnation(e.boot), max(e.sequence, 1)
					b.Chances(now, Query{Service: "s"})
					continue
				}
				o := e.observation
				o.Instance, o.Incarnation, o.Sequence, o.Started = picked.Name, picked.Incarnation, picked.Sequence, start.Add(e.started)
				for range max(e.times, 1) {
					b.Observe(now, o)
				}
			}
			is.New(t).Equal(b.Chances(now, Query{Service: "s"})[0].Share > 0, c.used)
		})
	}
}

// TestNothingElse guards against calls that are refused while an instance that failed
// lately is the only one left, and may be sound again.
func TestNothingElse(t *testing.T) {
	is := is.New(t)
	b := newBalancer(newInstances("r1", "z1", 2))
	b.Observe(start, Observation{Instance: "r1z10", Result: sycamorerun.NotRun, Reason: "draining"})
	b.Observe(start, Observation{Instance: "r1z11", Result: sycamorerun.NotRun, Reason: "peer-unreachable"})
	picked, ok := b.Pick(start, Query{Service: "s"})
	is.True(ok)
	is.Equal(picked.Name, "r1z11")
	_, ok = b.Pick(start, Query{Service: "s", Tried: []string{"r1z11"}})
	is.Equal(ok, false)
}
