package balancer

import (
	"cmp"
	"slices"
	"time"

	"sycamorerun"
)

const (
	// minSuccessRate is the lower bound of the success rate in a weight. A failing
	// upstream still gets some calls, so that it either recovers or is ejected.
	minSuccessRate = 0.1
	// minSlowStartShare is the smallest share of its capacity that an upstream gets
	// during slow start.
	minSlowStartShare = 0.1
	// minColdSlowStart is the shortest slow start of an upstream in the cold state.
	// The setting of the service may be shorter or zero, but calls to a cold
	// upstream take a multiple of the usual time for some seconds.
	minColdSlowStart = 10 * time.Second
	// ejectionSlowStart is the slow start after an ejection.
	ejectionSlowStart = 5 * time.Second
	// defaultSlots is the number of slots of an instance that reports none.
	defaultSlots = 1
)

// spilloverRange is the range of the utilization of a tier in which calls spill over
// to a farther tier with capacity. The share of these calls rises from zero at start
// to one at end.
type spilloverRange struct{ start, end float64 }

// zoneSpillover is the range for spillover to other zones of the region, and
// defaultReach that for calls to other regions whose objectives or run times are
// unknown.
var zoneSpillover, defaultReach = spilloverRange{0.7, 1.3}, spilloverRange{1.05, 1.6}

// share returns the share of the calls that spills over at a utilization.
func (s spilloverRange) share(utilization float64) float64 {
	return min(1, max(0, (utilization-s.start)/(s.end-s.start)))
}

// candidate is an instance with its statistics and their evaluation.
type candidate struct {
	instance *sycamorerun.Instance
	stats    *stats
	tier     int
	ejected  bool
	// pickable says that the instance is neither ejected nor avoided, full or tried.
	pickable bool
	// capacity is the number of slots, reduced during slow start.
	capacity float64
	// speed is the speed at which the upstream runs calls of the query's kind,
	// relative to the median of the service.
	speed float64
	// weight is the capacity times the speed, reduced while calls to the upstream
	// fail. Candidates are sampled by weight but compared by load and capacity, so
	// that an instance with failures is picked less often but does not lose every
	// comparison.
	weight float64
	load   float64
}

// projectedUtilization returns the load per slot with one more call, relative to the
// speed of the upstream.
func (c *candidate) projectedUtilization() float64 { return (c.load + 1) / (c.capacity * c.speed) }

// commonFailureRate is the lowest median failure rate at which failures are
// attributed to the whole service, for example to a dependency or to the requests of
// callers. Ejecting instances would then only overload the others, which fail as
// often.
const commonFailureRate = 0.2

// markEjected marks at most half of the candidates as ejected. If more of them fail,
// the instances are probably not the cause, and the rest would be overloaded.
func markEjected(now time.Time, all []candidate) {
	var ejected []*candidate
	for at := range all {
		if now.Before(all[at].stats.ejectionEnd()) {
			ejected = append(ejected, &all[at])
		}
	}
	if len(ejected) == 0 {
		return
	}
	if medianFailureRate(now, all) >= commonFailureRate {
		ejected = slices.DeleteFunc(ejected, func(c *candidate) bool { return !now.Before(c.stats.process.ejectionEnd()) })
	}
	// The instances that failed most often have the longest ejections.
	slices.SortStableFunc(ejected, func(a, b *candidate) int {
		return cmp.Or(b.stats.ejectionEnd().Compare(a.stats.ejectionEnd()), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	for _, c := range ejected[:min(len(ejected), len(all)/2)] {
		c.ejected = true
	}
}

// medianFailureRate returns the median failure rate of the candidates with recent
// outcomes, or zero if there are fewer than two.
func medianFailureRate(now time.Time, all []candidate) float64 {
	var rates []float64
	for at := range all {
		if s := all[at].stats; !s.lastOutcome.IsZero() && now.Sub(s.lastOutcome) < rateTimeConstant {
			rates = append(rates, s.currentFailureRate(now))
		}
	}
	if len(rates) < 2 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// tier holds the candidates at the same distance from this node.
type tier struct {
	candidates []*candidate
	capacity   float64
	weight     float64
	load       float64
	// reachLoad is the load as it counts for calls to other regions.
	reachLoad float64
}

func (t *tier) add(c *candidate) { t.candidates = append(t.candidates, c) }

// evaluate sets the load, capacity and weight of the candidates and of the tier. For
// missing and stale reports, the mean of the fresh ones is used. The range is that in
// which calls leave the region.
func (t *tier) evaluate(now time.Time, warmup time.Duration, reach spilloverRange) {
	var sum, weights float64
	for _, c := range t.candidates {
		weight := c.stats.reportWeight(now)
		sum += weight * max(0, float64(c.stats.report.Running+c.stats.report.Queued-c.stats.inFlightAtReport))
		weights += weight
	}
	mean := 0.0
	if weights > 0 {
		mean = sum / weights
	}
	for _, c := range t.candidates {
		c.load = c.stats.load(now, mean)
		c.capacity = float64(max(defaultSlots, c.instance.Slots)) * slowStartShare(now, c, warmup)
		success := max(minSuccessRate, 1-c.stats.currentFailureRate(now))
		c.weight = c.capacity * c.speed * success * success
		t.capacity += c.capacity
		t.weight += c.weight
		// The bound keeps a single instance that is slow, or reports an impossible
		// load, from making its whole tier look full.
		t.load += min(c.load, defaultReach.end*c.capacity)
		t.reachLoad += min(c.load, reach.end*c.capacity)
	}
}

// slowStartShare returns the share of its capacity that an upstream gets, which is
// below one during slow start.
func slowStartShare(now time.Time, c *candidate, warmup time.Duration) float64 {
	share := 1.0
	if c.instance.State == sycamorerun.StateCold {
		warmup = max(warmup, minColdSlowStart)
	}
	if warmup > 0 && !c.instance.Since.IsZero() {
		share = float64(now.Sub(c.instance.Since)) / float64(warmup)
	}
	if end := c.stats.ejectedUntil; !end.IsZero() && !now.Before(end) {
		share = min(share, float64(now.Sub(end))/float64(ejectionSlowStart))
	}
	return min(1, max(minSlowStartShare, share))
}

func (t *tier) spareCapacity() float64 { return max(0, t.capacity-t.load) }

// pick samples two candidates by weight and returns the one with the lower projected
// utilization.
func (t *tier) pick(random func() float64) *candidate {
	first := t.sample(random(), nil)
	if len(t.candidates) == 1 {
		return first
	}
	second := t.sample(random(), first)
	if second.projectedUtilization() < first.projectedUtilization() {
		return second
	}
	return first
}

// sample returns a candidate other than skip, drawn by weight with a random number
// in [0, 1).
func (t *tier) sample(draw float64, skip *candidate) *candidate {
	total := t.weight
	if skip != nil {
		total -= skip.weight
	}
	draw *= total
	var last *candidate
	for _, c := range t.candidates {
		if c == skip {
			continue
		}
		last = c
		if draw -= c.weight; draw < 0 {
			return c
		}
	}
	return last
}

// farTier is the index of the tier of the other regions.
const farTier = 2

// tieredCandidates groups candidates by tier, the nearest tier first.
type tieredCandidates struct {
	all   []candidate
	tiers [3]tier
	// travels is the share of the calls that go to other regions, as far as those
	// have the capacity.
	travels float64
	// open are the names of the regions with capacity, unknown those about which
	// nothing is known.
	open    []string
	unknown []regionLoad
}

// near returns the number of candidates in the region of this node.
func (t *tieredCandidates) near() int {
	return len(t.tiers[0].candidates) + len(t.tiers[1].candidates)
}

// addFull adds full candidates where there are no others. They know better than this
// node whether they are still full.
func (t *tieredCandidates) addFull(full []*candidate) {
	near, far := t.near() == 0, len(t.tiers[farTier].candidates) == 0
	for _, c := range full {
		if c.tier < farTier && near || c.tier == farTier && far {
			t.tiers[c.tier].add(c)
		}
	}
}

// empty reports whether no instance can be picked.
func (t *tieredCandidates) empty() bool {
	return t.near() == 0 && len(t.tiers[farTier].candidates) == 0
}

// addAll adds candidates whatever their distance.
func (t *tieredCandidates) addAll(candidates []*candidate) {
	for _, c := range candidates {
		c.pickable = true
		t.tiers[c.tier].add(c)
	}
}

// only leaves the given candidates of other regions as the only ones.
func (t *tieredCandidates) only(far []*candidate) {
	t.tiers, t.travels = [3]tier{}, 1
	for _, c := range far {
		c.capacity = float64(max(defaultSlots, c.instance.Slots))
		c.weight = c.capacity
		t.tiers[farTier].add(c)
		t.tiers[farTier].capacity += c.capacity
		t.tiers[farTier].weight += c.weight
	}
}

// shares returns the share of calls of each tier. The share that leaves a zone rises
// with its utilization, as far as the region has spare capacity.
func (t *tieredCandidates) shares() [3]float64 {
	zone, region, far := &t.tiers[0], &t.tiers[1], &t.tiers[farTier]
	var shares [3]float64
	left := 1.0
	if len(far.candidates) > 0 {
		spare, nearSpare := far.spareCapacity(), zone.spareCapacity()+region.spareCapacity()
		shares[farTier] = t.travels
		if t.near() > 0 {
			shares[farTier] *= spare / max(1, spare+nearSpare)
		}
		left -= shares[farTier]
	}
	switch {
	case t.near() == 0:
	case len(region.candidates) == 0:
		shares[0] = left
	case len(zone.candidates) == 0:
		shares[1] = left
	default:
		shares[1] = left * t.zoneSpillover()
		shares[0] = left - shares[1]
	}
	return shares
}

// zoneSpillover returns the share of calls that spills over from the zone to the rest
// of the region.
func (t *tieredCandidates) zoneSpillover() float64 {
	zone, region := &t.tiers[0], &t.tiers[1]
	spare := region.spareCapacity()
	if spare <= 0 {
		return 0
	}
	return zoneSpillover.share(zone.load/zone.capacity) * spare / (spare + zone.spareCapacity())
}

// roundingError bounds what the sum of the shares lacks to one by rounding.
const roundingError = 1e-9

// choose returns the tier drawn with a random number in [0, 1), or nil when no
// instance can be picked.
func (t *tieredCandidates) choose(draw float64) *tier {
	var last *tier
	for tier, share := range t.shares() {
		if len(t.tiers[tier].candidates) == 0 {
			continue
		}
		last = &t.tiers[tier]
		if draw -= share; draw < 0 {
			return last
		}
	}
	if draw > roundingError {
		return nil // the call does not leave the region, which has no instance for it
	}
	return last
}

// chances returns the expected share of every candidate. Within a tier it is the
// probability that the candidate is sampled and wins the comparison.
func (t *tieredCandidates) chances() []Chance {
	shares := t.shares()
	wins := map[string]float64{}
	for tier := range t.tiers {
		s := &t.tiers[tier]
		for _, first := range s.candidates {
			if len(s.candidates) == 1 {
				wins[first.instance.Name] = shares[tier]
			}
			for _, second := range s.candidates {
				if first == second {
					continue
				}
				winner := first
				if second.projectedUtilization() < first.projectedUtilization() {
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
