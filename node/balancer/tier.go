package balancer

import (
	"cmp"
	"slices"
	"time"

	"sycamorerun"
)

const (
	// weightMin keeps a failing upstream in the draw, so that its recovery or
	// its ejection is noticed.
	weightMin = 0.1
	// rampMin is the least share of a cold upstream.
	rampMin = 0.1
	// rampCold is the least slow start of an upstream that says that it is cold.
	// A service's own setting may be shorter, or zero, while calls to a cold
	// upstream take a multiple of the usual time for some seconds.
	rampCold = 10 * time.Second
	// rampEjected is the slow start after an ejection.
	rampEjected = 5 * time.Second
	// slotsDefault stands for the slots of an instance that tells none.
	slotsDefault = 1
)

// spill is a range of the utilisation of a tier: from its start on, calls go
// to a farther tier that has capacity, and from its end on all do. In between
// the share rises gradually.
type spill struct{ from, all float64 }

// spills are the ranges for the own region and for other regions. A response
// that crosses regions costs as much as a fifth of a read is worth, and 40 ms;
// a queue of half the slots takes about as long.
var spills = [...]spill{{0.7, 1.3}, {1.05, 1.6}}

// excess returns the share of the calls that utilisation drives away.
func (s spill) excess(utilisation float64) float64 {
	return min(1, max(0, (utilisation-s.from)/(s.all-s.from)))
}

// candidate is an instance with its statistics and their evaluation.
type candidate struct {
	instance sycamorerun.Instance
	stats    *stats
	tier     int
	ejected  bool
	// capacity is the slots, less while the upstream warms up.
	capacity float64
	// speed is how fast the upstream runs calls of the query's kind, 1 being
	// that of the median of the service.
	speed float64
	// weight is the capacity, less while calls to the upstream fail. Samples
	// are drawn by weight but compared by load and capacity: a failure makes an
	// instance rarer, not the loser of every comparison with equal ones.
	weight float64
	load   float64
}

// busy is the load per slot that one more call would bring, by the speed at
// which the upstream would work it off.
func (c *candidate) busy() float64 { return (c.load + 1) / (c.capacity * c.speed) }

// commonFailure is the failure rate of the median instance from which on failures
// are the service's: of a dependency, or of what callers send. To eject
// instances would only overload the others, which fail as often.
const commonFailure = 0.2

// eject marks the ejected candidates, at most half of them: beyond that the
// fault is probably not in the instances, and the rest would be overloaded.
func eject(now time.Time, all []candidate) {
	var out []*candidate
	for at := range all {
		if now.Before(all[at].stats.out()) {
			out = append(out, &all[at])
		}
	}
	if len(out) == 0 {
		return
	}
	if medianFailure(now, all) >= commonFailure {
		out = slices.DeleteFunc(out, func(c *candidate) bool { return !now.Before(c.stats.unreachable) })
	}
	// The longest ejections belong to the instances that failed most often.
	slices.SortStableFunc(out, func(a, b *candidate) int {
		return cmp.Or(b.stats.out().Compare(a.stats.out()), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	for _, c := range out[:min(len(out), len(all)/2)] {
		c.ejected = true
	}
}

// medianFailure returns the failure rate of the median candidate with outcomes.
func medianFailure(now time.Time, all []candidate) float64 {
	var rates []float64
	for at := range all {
		if s := all[at].stats; !s.judged.IsZero() && now.Sub(s.judged) < rateLife {
			rates = append(rates, s.failing(now))
		}
	}
	if len(rates) < 2 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// set are the candidates of a tier.
type set struct {
	candidates []*candidate
	capacity   float64
	weight     float64
	load       float64
}

func (s *set) add(c *candidate) { s.candidates = append(s.candidates, c) }

// measure evaluates the candidates. The mean of the fresh reports stands in for
// missing and stale ones.
func (s *set) measure(now time.Time, warmup time.Duration) {
	var sum, weights float64
	for _, c := range s.candidates {
		weight := c.stats.weight(now)
		sum += weight * max(0, float64(c.stats.report.Running+c.stats.report.Queued-c.stats.ownAt))
		weights += weight
	}
	mean := 0.0
	if weights > 0 {
		mean = sum / weights
	}
	for _, c := range s.candidates {
		c.load = c.stats.load(now, mean)
		c.capacity = float64(max(slotsDefault, c.instance.Slots)) * ramp(now, c, warmup)
		success := max(weightMin, 1-c.stats.failing(now))
		c.weight = c.capacity * c.speed * success * success
		s.capacity += c.capacity
		s.weight += c.weight
		// One instance that is slow, or reports a load that can't be, does not
		// make its whole tier look full.
		s.load += min(c.load, spills[1].all*c.capacity)
	}
}

// ramp is the share of its capacity that an upstream gets in its slow start.
func ramp(now time.Time, c *candidate, warmup time.Duration) float64 {
	share := 1.0
	if c.instance.State == sycamorerun.StateCold {
		warmup = max(warmup, rampCold)
	}
	if warmup > 0 && !c.instance.Since.IsZero() {
		share = float64(now.Sub(c.instance.Since)) / float64(warmup)
	}
	if back := c.stats.ejected; !back.IsZero() && !now.Before(back) {
		share = min(share, float64(now.Sub(back))/float64(rampEjected))
	}
	return min(1, max(rampMin, share))
}

func (s *set) spare() float64 { return max(0, s.capacity-s.load) }

// pick samples two candidates by weight and takes the one with less load.
func (s *set) pick(random func() float64) *candidate {
	first := s.sample(random(), nil)
	if len(s.candidates) == 1 {
		return first
	}
	second := s.sample(random(), first)
	if second.busy() < first.busy() {
		return second
	}
	return first
}

// sample returns a candidate other than skip, by weight.
func (s *set) sample(at float64, skip *candidate) *candidate {
	total := s.weight
	if skip != nil {
		total -= skip.weight
	}
	at *= total
	var last *candidate
	for _, c := range s.candidates {
		if c == skip {
			continue
		}
		last = c
		if at -= c.weight; at < 0 {
			return c
		}
	}
	return last
}

// tiers are the candidates by nearness.
type tiers struct {
	all  []candidate
	sets [3]set
}

// shares returns the share of calls of each tier. A tier passes on a share
// that rises with its utilisation, as far as the tiers behind it have spare
// capacity.
func (t *tiers) shares() [3]float64 {
	var shares [3]float64
	left := 1.0
	last := -1
	for at := range t.sets {
		near := &t.sets[at]
		if len(near.candidates) == 0 {
			continue
		}
		spill := t.spill(at)
		shares[at] = left * (1 - spill)
		left *= spill
		last = at
	}
	if last >= 0 {
		shares[last] += left
	}
	return shares
}

// spill returns the share of calls that tier at passes on.
func (t *tiers) spill(at int) float64 {
	near := &t.sets[at]
	var share float64
	for next := at + 1; next < len(t.sets); next++ {
		spare := t.sets[next].spare()
		if spare <= 0 {
			continue
		}
		excess := spills[next-1].excess(near.load / near.capacity)
		share = max(share, excess*spare/(spare+near.spare()))
	}
	return share
}

// choose returns the tier for a random number in [0, 1), or nil when no
// instance can be picked.
func (t *tiers) choose(at float64) *set {
	var last *set
	for tier, share := range t.shares() {
		if len(t.sets[tier].candidates) == 0 {
			continue
		}
		last = &t.sets[tier]
		if at -= share; at < 0 {
			return last
		}
	}
	return last
}

// chances returns the expected share of every candidate. Within a tier it is
// the probability to be sampled and to win the comparison.
func (t *tiers) chances() []Chance {
	shares := t.shares()
	wins := map[string]float64{}
	for tier := range t.sets {
		s := &t.sets[tier]
		for _, first := range s.candidates {
			if len(s.candidates) == 1 {
				wins[first.instance.Name] = shares[tier]
			}
			for _, second := range s.candidates {
				if first == second {
					continue
				}
				winner := first
				if second.busy() < first.busy() {
					winner = second
				}
				wins[winner.instance.Name] += shares[tier] * first.weight / s.weight * second.weight / (s.weight - first.weight)
			}
		}
	}
	chances := make([]Chance, 0, len(t.all))
	for _, c := range t.all {
		chances = append(chances, Chance{
			Instance: c.instance.Name, Tier: c.tier, Share: wins[c.instance.Name], Load: c.load, Ejected: c.ejected,
		})
	}
	return chances
}
