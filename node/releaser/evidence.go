package releaser

import (
	"cmp"
	"slices"
	"time"
)

// kind groups calls that are expected to take about the same time.
type kind struct {
	rank      int
	objective time.Duration
}

// cell identifies a counter: the attempts of one kind at one instance of the
// target, or at all instances of other releases if instance is empty.
type cell struct {
	kind
	instance string
}

// counts counts attempts, and the bad ones among them: those that failed or took
// several times as long as usual.
type counts struct{ all, bad int }

// measure is the state of a counter at one node.
type measure struct {
	counts
	// timed and total are the number and the sum of the run times of the calls that
	// did not fail.
	timed int
	total time.Duration
}

// evidence holds the outcomes that one node has seen since it learned of an order.
type evidence map[cell]*measure

const (
	// slowFactor is the multiple of the mean run time at the other releases above
	// which a call counts as slow.
	slowFactor = 4
	// minTimed is the number of run times from which their mean is used.
	minTimed = 5
)

func (e evidence) measure(c cell) *measure {
	m, ok := e[c]
	if !ok {
		m = &measure{}
		e[c] = m
	}
	return m
}

// add counts an attempt at the target or at another release. The usual run time
// is that of the other releases at the same node, so that the way to the upstreams
// and the load of these seconds are in both.
func (e evidence) add(a Attempt, target bool) {
	k := kind{a.Rank, a.Objective}
	others := e.measure(cell{kind: k})
	slow := others.timed >= minTimed && a.Took > slowFactor*others.total/time.Duration(others.timed)
	counted := others
	if target {
		counted = e.measure(cell{kind: k, instance: a.Instance})
	} else if !a.Failed {
		others.timed++
		others.total += a.Took
	}
	counted.all++
	if a.Failed || slow {
		counted.bad++
	}
}

func (e evidence) tallies() []*Tally {
	var all []*Tally
	for c, m := range e {
		all = append(all, &Tally{
			Instance: c.instance, Rank: uint32(c.rank), ObjectiveMilli: uint32(c.objective / time.Millisecond),
			Count: uint32(m.all), Bad: uint32(m.bad),
		})
	}
	slices.SortFunc(all, func(a, b *Tally) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.ObjectiveMilli, b.ObjectiveMilli), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}

// sums holds the counters of all nodes.
type sums map[cell]counts

func (s sums) add(tallies []*Tally) {
	for _, t := range tallies {
		c := cell{kind{int(t.GetRank()), time.Duration(t.GetObjectiveMilli()) * time.Millisecond}, t.GetInstance()}
		n := s[c]
		n.all += int(t.GetCount())
		n.bad += int(t.GetBad())
		s[c] = n
	}
}

// minus returns the counts since earlier.
func (s sums) minus(earlier sums) sums {
	result := sums{}
	for c, n := range s {
		before := earlier[c]
		result[c] = counts{max(0, n.all-before.all), max(0, n.bad-before.bad)}
	}
	return result
}

// baseline returns the counts of a kind at the other releases, or those of all kinds
// if there are too few.
func (s sums) baseline(k kind) counts {
	if n := s[cell{kind: k}]; n.all >= minBaseline {
		return n
	}
	return s.others()
}

// others returns the counts of all kinds at the other releases.
func (s sums) others() counts {
	var n counts
	for c, each := range s {
		if c.instance == "" {
			n.all += each.all
			n.bad += each.bad
		}
	}
	return n
}

// target returns the counts at the target by instance, and their sum.
func (s sums) target() (map[string]counts, counts) {
	byInstance, total := map[string]counts{}, counts{}
	for c, n := range s {
		if c.instance == "" {
			continue
		}
		each := byInstance[c.instance]
		byInstance[c.instance] = counts{each.all + n.all, each.bad + n.bad}
		total = counts{total.all + n.all, total.bad + n.bad}
	}
	return byInstance, total
}

const minBaseline = 10

func (c counts) rate() float64 {
	if c.all == 0 {
		return 0
	}
	return float64(c.bad) / float64(c.all)
}

// limit is a number of calls and by how much their bad share has to exceed that of
// the other releases for an instance to be suspect.
type limit struct {
	all, bad int
	excess   float64
}

// limits has a smaller excess for more calls.
var limits = []limit{{6, 4, 0.35}, {12, 5, 0.2}, {50, 8, 0.12}}

// suspects returns the instances of the target that do worse than the other
// releases, in any kind of calls.
func (s sums) suspects() map[string]bool {
	found := map[string]bool{}
	for c, n := range s {
		if c.instance == "" {
			continue
		}
		usual := s.baseline(c.kind).rate()
		for _, l := range limits {
			if n.all >= l.all && n.bad >= l.bad && n.rate() >= usual+l.excess {
				found[c.instance] = true
			}
		}
	}
	return found
}
