package deduplicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

var start = time.Unix(1000, 0)

var small = Limits{
	Calls: 4, CallAge: time.Minute, Refusals: 3, Keys: 4, KeyTTL: 10 * time.Minute,
	Bytes: 10, Traces: 6, Reach: time.Hour,
}

func clean(limits Limits) *Deduplicator {
	d := New(start, limits)
	d.Self, d.Boot = "a", 1
	d.StartClean()
	return d
}

var answered = Result{Result: sycamorerun.Answered, Response: []byte("four")}

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards "not run" and "at most once" for calls by id: what is told of a call,
// and whether its original still runs after that.
func TestCalls(t *testing.T) {
	cases := map[string]struct {
		prepare func(d *Deduplicator)
		age     time.Duration
		state   State
		then    sycamorerun.Verdict
	}{
		"never seen": {func(*Deduplicator) {}, time.Second, StateRefused, sycamorerun.VerdictRefused},
		"started":    {func(d *Deduplicator) { d.Begin(at(time.Minute), "x", Key{}) }, time.Second, StateStarted, sycamorerun.VerdictUncertain},
		"finished": {func(d *Deduplicator) {
			d.Begin(at(time.Minute), "x", Key{})
			d.Finish(at(time.Minute), "x", Key{}, answered)
		}, time.Second, StateFinished, sycamorerun.VerdictUncertain},
		"started and not run": {func(d *Deduplicator) {
			d.Begin(at(time.Minute), "x", Key{})
			d.Finish(at(time.Minute), "x", Key{}, Result{Result: sycamorerun.NotRun})
		}, time.Second, StateRefused, sycamorerun.VerdictRefused},
		"opened before this process": {func(*Deduplicator) {}, time.Minute + 1, StateUnknown, sycamorerun.VerdictRun},
		"record dropped, opened before": {func(d *Deduplicator) {
			for n := range 6 {
				id := fmt.Sprint("y", n)
				d.Begin(at(30*time.Second), id, Key{})
				d.Finish(at(30*time.Second), id, Key{}, answered)
			}
		}, 30 * time.Second, StateUnknown, sycamorerun.VerdictRun},
		"record dropped, opened after": {func(d *Deduplicator) {
			for n := range 6 {
				id := fmt.Sprint("y", n)
				d.Begin(at(30*time.Second), id, Key{})
				d.Finish(at(30*time.Second), id, Key{}, answered)
			}
		}, 30*time.Second - 1, StateRefused, sycamorerun.VerdictRefused},
		"no room for a promise": {func(d *Deduplicator) {
			for n := range 3 {
				d.Refuse(at(time.Minute), fmt.Sprint("y", n), 0)
			}
		}, time.Second, StateUnknown, sycamorerun.VerdictRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := clean(small)
			c.prepare(d)
			is.Equal(d.Refuse(at(time.Minute), "x", c.age), c.state)
			is.Equal(d.Begin(at(time.Minute), "x", Key{}).Verdict, c.then)
		})
	}
}

// Guards against records that grow without bound, and a call in progress
// against losing its record to many others.
func TestBounds(t *testing.T) {
	is := is.New(t)
	d := clean(small)
	d.Begin(start, "long", Key{Name: "long"})
	for n := range 1000 {
		id := fmt.Sprint(n)
		now := at(time.Duration(n) * time.Second)
		d.Refuse(now, "r"+id, 0)
		d.Begin(now, id, Key{Name: id})
		d.Finish(now, id, Key{Name: id}, answered)
	}
	is.True(len(d.calls.states) <= 1+small.Calls+small.Refusals)
	is.True(len(d.keys.records) <= 1+small.Keys)
	is.True(len(d.keys.traces) <= small.Traces)
	is.True(d.keys.bytes <= small.Bytes)
	is.True(d.keys.kept.length() <= small.Keys)
	is.Equal(d.Refuse(at(time.Hour), "long", time.Hour), StateStarted)
	is.Equal(d.Begin(at(time.Hour), "2", Key{Name: "long"}).Verdict, sycamorerun.VerdictUncertain)
}

// Guards a booking against a second run under its key, in each state that the
// key can be in and beyond the bounds of its record.
func TestKeys(t *testing.T) {
	key := Key{Name: "k", Fingerprint: 1}
	run := func(d *Deduplicator, result Result) {
		d.Begin(start, "x", key)
		d.Finish(start, "x", key, result)
	}
	cases := map[string]struct {
		prepare func(d *Deduplicator)
		key     Key
		now     time.Duration
		verdict sycamorerun.Verdict
		reason  string
	}{
		"new":                  {func(*Deduplicator) {}, key, 0, sycamorerun.VerdictRun, ""},
		"running":              {func(d *Deduplicator) { d.Begin(start, "x", key) }, key, 0, sycamorerun.VerdictUncertain, ReasonRunning},
		"running for long":     {func(d *Deduplicator) { d.Begin(start, "x", key) }, key, time.Hour, sycamorerun.VerdictUncertain, ReasonRunning},
		"answered":             {func(d *Deduplicator) { run(d, answered) }, key, time.Minute, sycamorerun.VerdictRecorded, ReasonRecorded},
		"another request":      {func(d *Deduplicator) { run(d, answered) }, Key{Name: "k", Fingerprint: 2}, 0, sycamorerun.VerdictMismatch, ReasonUncertain},
		"not run":              {func(d *Deduplicator) { run(d, Result{Result: sycamorerun.NotRun}) }, key, 0, sycamorerun.VerdictRun, ""},
		"unknown":              {func(d *Deduplicator) { run(d, Result{Result: sycamorerun.Unknown}) }, key, 0, sycamorerun.VerdictUncertain, ReasonUncertain},
		"response too large":   {func(d *Deduplicator) { run(d, Result{Result: sycamorerun.Answered}) }, key, 0, sycamorerun.VerdictUncertain, ReasonForgotten},
		"beyond the age":       {func(d *Deduplicator) { run(d, answered) }, key, small.KeyTTL, sycamorerun.VerdictUncertain, ReasonForgotten},
		"beyond the bytes":     {func(d *Deduplicator) { run(d, answered); fill(d, 2) }, key, 0, sycamorerun.VerdictUncertain, ReasonForgotten},
		"beyond the count":     {func(d *Deduplicator) { run(d, answered); fill(d, 5) }, key, 0, sycamorerun.VerdictUncertain, ReasonForgotten},
		"beyond every record":  {func(d *Deduplicator) { run(d, answered); fill(d, 20) }, key, 0, sycamorerun.VerdictUncertain, ReasonForgotten},
		"no room for a record": {func(d *Deduplicator) { fill(d, 20) }, key, 0, sycamorerun.VerdictRefused, ReasonFull},
		"room again":           {func(d *Deduplicator) { fill(d, 20) }, key, small.KeyTTL, sycamorerun.VerdictRun, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := clean(small)
			c.prepare(d)
			decision := d.Begin(at(c.now), "y", c.key)
			is.Equal(decision.Verdict, c.verdict)
			is.Equal(decision.Reason, c.reason)
			is.Equal(string(decision.Response) == "four", c.verdict == sycamorerun.VerdictRecorded)
		})
	}
}

func fill(d *Deduplicator, n int) {
	for i := range n {
		id := fmt.Sprint("fill", i)
		d.Begin(start, id, Key{Name: id})
		d.Finish(start, id, Key{Name: id}, answered)
	}
}

// Guards a booking against a second run at another node after the members
// changed, and keys that did not change hands against needless refusals.
func TestMoved(t *testing.T) {
	is := is.New(t)
	d := clean(small)
	all, rest := set("a", "b", "c"), set("a", "c")
	own, inherited, foreign := find(t, "a", "a"), find(t, "b", "a"), find(t, "c", "c")
	d.SetMembers(start, all, all)
	is.Equal(d.Begin(start, "1", Key{Name: inherited}).Reason, ReasonOwner)
	d.SetMembers(start, rest, rest)
	is.Equal(d.Begin(start, "2", Key{Name: own}).Verdict, sycamorerun.VerdictRun)
	is.Equal(d.Begin(start, "3", Key{Name: inherited}), sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonMoved})
	is.Equal(d.Begin(start, "4", Key{Name: foreign}), sycamorerun.Decision{Verdict: sycamorerun.VerdictRefused, Reason: ReasonOwner})
	is.Equal(d.Begin(at(small.KeyTTL), "5", Key{Name: inherited}).Verdict, sycamorerun.VerdictRun)

	restarted := New(start, small)
	restarted.Self, restarted.Boot = "a", 1
	restarted.SetMembers(start, all, all)
	is.Equal(restarted.Begin(at(small.KeyTTL-1), "1", Key{Name: own}).Reason, ReasonMoved)
	is.Equal(restarted.Begin(at(small.KeyTTL), "2", Key{Name: own}).Verdict, sycamorerun.VerdictRun)

	busy := clean(small)
	for n := range 2*setsMax + 1 {
		busy.SetMembers(start, [][]Member{all, rest}[n%2], all)
	}
	is.True(len(busy.moves.past) <= setsMax)
	is.Equal(busy.Begin(at(time.Minute), "1", Key{Name: own}).Reason, ReasonMoved)
}

// Guards against a restarted member that makes every key unknown for the age: it
// asks for its keys before it is announced, and is not gone meanwhile.
func TestStrangerNotAnnounced(t *testing.T) {
	cases := map[string]struct {
		announced [][]Member
		met       bool
		reason    string
	}{
		"met before it is announced": {[][]Member{set("a", "b")}, true, ""},
		"not met yet":                {[][]Member{set("a", "b")}, false, ReasonMoved},
		"announced and gone":         {[][]Member{append(set("a", "b"), Member{"c", 2}), set("a", "b")}, true, ReasonMoved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := clean(small)
			restarted := Member{"c", 2}
			d.SetMembers(start, set("a", "b", "c"), set("a", "b", "c"))
			is.True(d.Grant(start, restarted, 1, set("a", "b", "c"), true).Granted)
			for _, announced := range c.announced {
				d.SetMembers(start, announced, announced)
			}
			if c.met {
				d.Meet(start, map[Member]Grant{restarted: {Granted: true}})
			}
			is.Equal(d.Begin(start, "1", Key{Name: find(t, "a", "a")}).Reason, c.reason)
		})
	}
}

// Guards against a restarted member that knew nobody at first and passes that on,
// so that every key counts as moved at all members.
func TestEmptySet(t *testing.T) {
	is := is.New(t)
	restarted := New(start, small)
	restarted.Self, restarted.Boot = "c", 2
	restarted.SetMembers(start, nil, nil)
	restarted.SetMembers(start, set("a", "b"), set("a", "b"))
	d := clean(small)
	d.SetMembers(start, set("a", "b"), set("a", "b"))
	all := append(set("a", "b"), restarted.member())
	d.SetMembers(start, all, all)
	grant := restarted.Grant(start, d.member(), 1, all, true)
	is.True(grant.Granted)
	d.Meet(start, map[Member]Grant{restarted.member(): grant})
	is.Equal(d.Begin(start, "1", Key{Name: find(t, "a", "a")}).Verdict, sycamorerun.VerdictRun)
}

// set returns members of one incarnation.
func set(names ...string) []Member {
	members := make([]Member, len(names))
	for i, name := range names {
		members[i] = Member{Name: name, Boot: 1}
	}
	return members
}

// find returns a key that before owns among a, b and c, and after without b.
func find(t *testing.T, before, after string) string {
	for n := range 1000 {
		key := fmt.Sprint("key", n)
		if Owner(key, []string{"a", "b", "c"}) == before && Owner(key, []string{"c", "a"}) == after {
			return key
		}
	}
	t.Fatal("no such key")
	return ""
}
