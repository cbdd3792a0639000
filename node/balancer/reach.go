package balancer

import (
	"slices"
	"time"
)

const (
	// farReportTTL is the age up to which the report of an instance in another region
	// counts as knowledge of that region. It covers a round trip and a usual call.
	farReportTTL = 500 * time.Millisecond
	// farRoom is the utilization below which another region has capacity for calls of
	// this one. The rest is left to its own callers.
	farRoom = 0.9
	// minExploration and maxExploration bound the time between two calls that a node
	// sends to a region about which it knows nothing. The time doubles while the
	// region has no capacity and calls would go there.
	minExploration = 250 * time.Millisecond
	maxExploration = 4 * time.Second
	// objectiveReserveRuns, minWaitFraction and maxWaitFraction are those of the
	// limiter, which refuses calls that would wait longer.
	objectiveReserveRuns = 2
	minWaitFraction      = 0.15
	maxWaitFraction      = 0.4
)

// reachRange returns the range of the utilization of a region in which calls leave
// it. They stay while its instances are expected to keep them, which they do up to a
// bound of the wait. If run times or the objective are unknown, the range is
// defaultReach.
func reachRange(objective, run time.Duration) spilloverRange {
	if objective <= 0 || run <= 0 {
		return defaultReach
	}
	bound := min(max(objective-objectiveReserveRuns*run, scale(objective, minWaitFraction)), scale(objective, maxWaitFraction))
	runs := float64(bound) / float64(run)
	return spilloverRange{start: max(defaultReach.start, 1+runs/2), end: max(defaultReach.end, 1+runs)}
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// farOptions restrict the calls to other regions.
type farOptions struct {
	// unlimited says that no instance of the region of this node can be reached.
	unlimited bool
	// forbidden says that another region refused the call. The next one is not tried,
	// since each refusal costs a round trip between regions.
	forbidden bool
	// full says that all instances of the region that can be picked are full.
	full bool
	// share is the share of the calls that may leave the region when it lacks
	// capacity.
	share float64
}

// regionLoad is what fresh reports tell of the instances of another region.
type regionLoad struct {
	name           string
	load, capacity float64
	candidates     []*candidate
}

func (r *regionLoad) known() bool { return r.capacity > 0 }

func (r *regionLoad) hasRoom() bool { return r.known() && r.load < farRoom*r.capacity }

// evaluate evaluates the tiers and limits the calls to other regions to those that
// the region is not expected to keep, and to regions that are known to have capacity.
func (t *tieredCandidates) evaluate(now time.Time, warmup time.Duration, reach spilloverRange, options farOptions) {
	zone, region, far := &t.tiers[0], &t.tiers[1], &t.tiers[farTier]
	zone.evaluate(now, warmup, reach)
	region.evaluate(now, warmup, reach)
	switch {
	case options.unlimited:
		t.travels = 1
	case options.forbidden:
	case options.full:
		t.travels = options.share
	default:
		t.travels = options.share * reach.share((zone.reachLoad+region.reachLoad)/(zone.capacity+region.capacity))
	}
	if t.travels == 0 {
		far.candidates = nil
		return
	}
	if !options.unlimited {
		t.limitFar(now)
	}
	far.evaluate(now, warmup, reach)
}

// limitFar keeps the candidates of the regions with capacity, and sets aside those of
// the regions about which nothing is known.
func (t *tieredCandidates) limitFar(now time.Time) {
	regions := farRegions(now, t.all)
	t.tiers[farTier].candidates = nil
	for _, r := range regions {
		switch {
		case r.hasRoom() && len(r.candidates) > 0:
			t.tiers[farTier].candidates = append(t.tiers[farTier].candidates, r.candidates...)
			t.open = append(t.open, r.name)
		case !r.known() && len(r.candidates) > 0:
			t.unknown = append(t.unknown, r)
		}
	}
}

// farRegions groups the candidates of other regions by region and sums up their fresh
// reports, also those of instances that can't be picked because they are full.
func farRegions(now time.Time, all []candidate) []regionLoad {
	var regions []regionLoad
	for at := range all {
		c := &all[at]
		if c.tier != farTier {
			continue
		}
		index := slices.IndexFunc(regions, func(r regionLoad) bool { return r.name == c.instance.Region })
		if index < 0 {
			index = len(regions)
			regions = append(regions, regionLoad{name: c.instance.Region})
		}
		r := &regions[index]
		if c.pickable {
			r.candidates = append(r.candidates, c)
		}
		if now.Sub(c.stats.reportedAt) < farReportTTL {
			r.load += c.stats.load(now, 0)
			r.capacity += float64(max(defaultSlots, c.stats.report.Slots))
		}
	}
	return regions
}

// regionKey identifies the instances of a service in a region.
type regionKey struct{ service, region string }

// exploration paces the calls to a region about which nothing is known.
type exploration struct {
	next     time.Time
	interval time.Duration
}

// explore adds the candidates of a region about which nothing is known, if the call
// would leave its region and it is time to learn whether that region has capacity.
func (b *Balancer) explore(now time.Time, service string, t *tieredCandidates) {
	for _, name := range t.open {
		delete(b.explorations, regionKey{service, name})
	}
	if len(t.open) > 0 || len(t.unknown) == 0 || b.Random() >= t.travels {
		return
	}
	for _, r := range t.unknown {
		key := regionKey{service, r.name}
		known, ok := b.explorations[key]
		if !ok {
			known = &exploration{interval: minExploration}
			b.explorations[key] = known
		}
		if now.Before(known.next) {
			continue
		}
		if now.Sub(known.next) > maxExploration {
			known.interval = minExploration // the last shortage has ended
		}
		known.next = now.Add(known.interval)
		known.interval = min(2*known.interval, maxExploration)
		b.metrics.explorations.Inc(1)
		t.only(r.candidates)
		return
	}
}
