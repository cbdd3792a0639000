package deduplicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

var start = time.Unix(1000, 0)

var smallLimits = Limits{
	Keys: 4, KeyTTL: 10 * time.Minute,
	Bytes: 10, Tombstones: 6, TombstoneTTL: time.Hour,
}

func newClean(limits Limits) *Deduplicator {
	d := New(start, limits)
	d.Self, d.Boot = "a", 1
	d.StartClean()
	return d
}

var answered = Result{Result: sycamorerun.Answered, Response: []byte("four")}

func at(d time.Duration) time.Time { return start.Add(d) }

// TestBounds guards against records that grow without bound, and against the loss of
// the record of a running request when many others follow.
func TestBounds(t *testing.T) {
	is := is.New(t)
	d := newClean(smallLimits)
	d.Begin(start, Key{Name: "long"})
	for n := range 1000 {
		id := fmt.Sprint(n)
		now := at(time.Duration(n) * time.Second)
		d.Begin(now, Key{Name: id})
		d.Finish(now, Key{Name: id}, answered)
	}
	is.True(len(d.keys.records) <= 1+smallLimits.Keys)
	is.True(len(d.keys.tombstones) <= smallLimits.Tombstones)
	is.True(d.keys.responseBytes <= smallLimits.Bytes)
	is.True(d.keys.responses.Len() <= smallLimits.Keys)
	is.Equal(d.Begin(at(time.Hour), Key{Name: "long"}).Verdict, sycamorerun.VerdictUncertain)
}

// TestKeys guards against a second run of a request with the same key, in each state
// of the key and after its response or its whole record has been dropped.
func TestKeys(t *testing.T) {
	key := Key{Name: "k", Fingerprint: 1}
	run := func(d *Deduplicator, result Result) {
		d.Begin(start, key)
		d.Finish(start, key, result)
	}
	cases := map[string]struct {
		prepare func(d *Deduplicator)
		key     Key
		now     time.Duration
		verdict sycamorerun.Verdict
		reason  string
	}{
		"new":                  {func(*Deduplicator) {}, key, 0, sycamorerun.VerdictRun, ""},
		"running":              {func(d *Deduplicator) { d.Begin(start, key) }, key, 0, sycamorerun.VerdictUncertain, ReasonRunning},
		"running for long":     {func(d *Deduplicator) { d.Begin(start, key) }, key, time.Hour, sycamorerun.VerdictUncertain, ReasonRunning},
		"answered":             {func(d *Deduplicator) { run(d, answered) }, key, time.Minute, sycamorerun.VerdictRecorded, ReasonRecorded},
		"another request":      {func(d *Deduplicator) { run(d, answered) }, Key{Name: "k", Fingerprint: 2}, 0, sycamorerun.VerdictMismatch, ReasonUncertain},
		"not run":              {func(d *Deduplicator) { run(d, Result{Result: sycamorerun.NotRun}) }, key, 0, sycamorerun.VerdictRun, ""},
		"unknown":              {func(d *Deduplicator) { run(d, Result{Result: sycamorerun.Unknown}) }, key, 0, sycamorerun.VerdictUncertain, ReasonUncertain},
		"response too large":   {func(d *Deduplicator) { run(d, Result{Result: sycamorerun.Answered}) }, key, 0, sycamorerun.VerdictUncertain, ReasonResponseDropped},
		"beyond the age":       {func(d *Deduplicator) { run(d, answered) }, key, smallLimits.KeyTTL, sycamorerun.VerdictUncertain, ReasonResponseDropped},
		"beyond the bytes":     {func(d *Deduplicator) { run(d, answered); fill(d, 2) }, key, 0, sycamorerun.VerdictUncertain, ReasonResponseDropped},
		"beyond the count":     {func(d *Deduplicator) { run(d, answered); fill(d, 5) }, key, 0, sycamorerun.VerdictUncertain, ReasonResponseDropped},
		"beyond every record":  {func(d *Deduplicator) { run(d, answered); fill(d, 20) }, key, 0, sycamorerun.VerdictUncertain, ReasonResponseDropped},
		"no room for a record": {func(d *Deduplicator) { fill(d, 20) }, key, 0, sycamorerun.VerdictRefused, ReasonFull},
		"room again":           {func(d *Deduplicator) { fill(d, 20) }, key, smallLimits.KeyTTL, sycamorerun.VerdictRun, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newClean(smallLimits)
			c.prepare(d)
			decision := d.Begin(at(c.now), c.key)
			is.Equal(decision.Verdict, c.verdict)
			is.Equal(decision.Reason, c.reason)
			is.Equal(string(decision.Response) == "four", c.verdict == sycamorerun.VerdictRecorded)
		})
	}
}

func fill(d *Deduplicator, n int) {
	for i := range n {
		id := fmt.Sprint("fill", i)
		d.Begin(start, Key{Name: id})
		d.Finish(start, Key{Name: id}, answered)
	}
}

// TestMemberChange guards against a second run of a request at another node after a
// membership change, and against needless refusals of keys whose owner did not
// change.
func TestMemberChange(t *testing.T) {
	is := is.New(t)
	d := newClean(smallLimits)
	all, rest := memberSet("a", "b", "c"), memberSet("a", "c")
	own, inherited, foreign := findKey(t, "a", "a"), findKey(t, "b", "a"), findKey(t, "c", "c")
	d.SetMembers(start, all, all)
	is.Equal(d.Begin(start, Key{Name: inherited}).Reason, ReasonNotOwner)
	d.SetMembers(start, rest, rest)
	is.Equal(d.Begin(start, Key{Name: own}).Verdict, sycamorerun.VerdictRun)
	is.Equal(d.Begin(start, Key{Name: inherited}), sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonMoved})
	is.Equal(d.Begin(start, Key{Name: foreign}), sycamorerun.Decision{Verdict: sycamorerun.VerdictRefused, Reason: ReasonNotOwner})
	is.Equal(d.Begin(at(smallLimits.KeyTTL), Key{Name: inherited}).Verdict, sycamorerun.VerdictRun)

	restarted := New(start, smallLimits)
	restarted.Self, restarted.Boot = "a", 1
	restarted.SetMembers(start, all, all)
	is.Equal(restarted.Begin(at(smallLimits.KeyTTL-1), Key{Name: own}).Reason, ReasonMoved)
	is.Equal(restarted.Begin(at(smallLimits.KeyTTL), Key{Name: own}).Verdict, sycamorerun.VerdictRun)

	flapping := newClean(smallLimits)
	for n := range 2*maxMemberSets + 1 {
		flapping.SetMembers(start, [][]Member{all, rest}[n%2], all)
	}
	is.True(len(flapping.membership.past) <= maxMemberSets)
	is.Equal(flapping.Begin(at(time.Minute), Key{Name: own}).Reason, ReasonMoved)
}

// TestReconcileBeforeAnnouncement guards against a restarted member that makes every
// key uncertain for KeyTTL. It requests its keys before it is announced, and must not
// count as gone until then.
func TestReconcileBeforeAnnouncement(t *testing.T) {
	cases := map[string]struct {
		announced  [][]Member
		reconciled bool
		reason     string
	}{
		"met before it is announced": {[][]Member{memberSet("a", "b")}, true, ""},
		"not met yet":                {[][]Member{memberSet("a", "b")}, false, ReasonMoved},
		"announced and gone":         {[][]Member{append(memberSet("a", "b"), Member{"c", 2}), memberSet("a", "b")}, true, ReasonMoved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newClean(smallLimits)
			restarted := Member{"c", 2}
			d.SetMembers(start, memberSet("a", "b", "c"), memberSet("a", "b", "c"))
			is.True(d.Grant(start, restarted, 1, memberSet("a", "b", "c"), true).Granted)
			for _, announced := range c.announced {
				d.SetMembers(start, announced, announced)
			}
			if c.reconciled {
				d.Reconcile(start, map[Member]Grant{restarted: {Granted: true}})
			}
			is.Equal(d.Begin(start, Key{Name: findKey(t, "a", "a")}).Reason, c.reason)
		})
	}
}

// TestEmptySet guards against a restarted member that had no members at first and
// sends this empty set to the others, so that every key is uncertain at all members.
func TestEmptySet(t *testing.T) {
	is := is.New(t)
	restarted := New(start, smallLimits)
	restarted.Self, restarted.Boot = "c", 2
	restarted.SetMembers(start, nil, nil)
	restarted.SetMembers(start, memberSet("a", "b"), memberSet("a", "b"))
	d := newClean(smallLimits)
	d.SetMembers(start, memberSet("a", "b"), memberSet("a", "b"))
	all := append(memberSet("a", "b"), restarted.member())
	d.SetMembers(start, all, all)
	grant := restarted.Grant(start, d.member(), 1, all, true)
	is.True(grant.Granted)
	d.Reconcile(start, map[Member]Grant{restarted.member(): grant})
	is.Equal(d.Begin(start, Key{Name: findKey(t, "a", "a")}).Verdict, sycamorerun.VerdictRun)
}

// memberSet returns members of the same boot id.
func memberSet(names ...string) []Member {
	members := make([]Member, len(names))
	for i, name := range names {
		members[i] = Member{Name: name, Boot: 1}
	}
	return members
}

// findKey returns a key whose owner is before among a, b and c, and after among a and
// c.
func findKey(t *testing.T, before, after string) string {
	for n := range 1000 {
		key := fmt.Sprint("key", n)
		if Owner(key, []string{"a", "b", "c"}) == before && Owner(key, []string{"c", "a"}) == after {
			return key
		}
	}
	t.Fatal("no key has these owners before and after the change")
	return ""
}
