// Package balancer selects an upstream for a call by nearness, load and the
// outcomes of earlier calls.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sycamorerun"
)

// Query describes the instance that an attempt needs.
type Query struct {
	Service string
	// Tried names instances that are not to be picked.
	Tried []string
	// Rank is the call's, 1 first.
	Rank int
	// Objective is the call's. Run times are compared between calls of the same
	// rank and objective.
	Objective time.Duration
}

// Load is the work that the node beside an upstream reported.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// RunTime is the mean time for which recent calls of the same rank and objective
	// held a slot; zero means unknown.
	RunTime time.Duration
}

// Observation is the end of an attempt at a picked instance.
type Observation struct {
	Instance string
	Service  string
	Result   sycamorerun.Result
	Reason   string
	// Status is the upstream's status if it answered.
	Status int
	// Load is nil when the attempt brought no report.
	Load *Load
	// After is the time after which the instance expects capacity for calls of
	// Rank; zero means unknown.
	After time.Duration
	// Rank and Objective are the call's.
	Rank      int
	Objective time.Duration
}

// Chance is the share of the next calls that an instance would get.
type Chance struct {
	Instance string
	Tier     int
	Share    float64
	Load     float64
	Ejected  bool
}

// Balancer picks instances for the calls that enter at one node.
type Balancer struct {
	// AvailabilityZone and Region are those of this node.
	AvailabilityZone string
	Region           string
	// Instances returns the members of a service.
	Instances func(service string) []sycamorerun.Instance
	// Warmup returns the slow-start time of a service.
	Warmup func(service string) time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
	// RoundRobin takes the serving instances in turn, whatever their zone,
	// load and outcomes: the simplest policy, as a baseline to measure against.
	RoundRobin bool

	turn  uint64
	mutex sync.Mutex
	stats map[string]*stats
	swept time.Time
}

// New returns a balancer for the calls that enter in an availability zone.
func New(availabilityZone, region string) *Balancer {
	return &Balancer{
		AvailabilityZone: availabilityZone, Region: region,
		Warmup: func(string) time.Duration { return 0 },
		Random: rand.Float64, stats: map[string]*stats{},
		// Nodes that start together do not begin with the same instance.
		turn: uint64(rand.Uint32()),
	}
}

// Pick chooses an instance and counts a call in flight there until Observe.
func (b *Balancer) Pick(now time.Time, query Query) (sycamorerun.Instance, bool) {
	instances := b.Instances(query.Service)
	warmup := b.Warmup(query.Service)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now)
	if b.RoundRobin {
		return b.next(instances, query.Tried)
	}
	tiers := b.tiers(now, instances, query, warmup)
	tier := tiers.choose(b.Random())
	if tier == nil {
		return sycamorerun.Instance{}, false
	}
	chosen := tier.pick(b.Random)
	chosen.stats.inFlight++
	chosen.stats.used = now
	return chosen.instance, true
}

// next returns the serving instance whose turn it is.
func (b *Balancer) next(instances []sycamorerun.Instance, tried []string) (sycamorerun.Instance, bool) {
	for range instances {
		b.turn++
		instance := instances[b.turn%uint64(len(instances))]
		if instance.Serving() && !slices.Contains(tried, instance.Name) {
			return instance, true
		}
	}
	return sycamorerun.Instance{}, false
}

// Observe records the end of an attempt.
func (b *Balancer) Observe(now time.Time, observation Observation) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(now, observation.Instance).observe(now, observation)
}

// Chances returns what Pick would do with the next calls, for explanations.
func (b *Balancer) Chances(now time.Time, query Query) []Chance {
	instances := b.Instances(query.Service)
	warmup := b.Warmup(query.Service)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sorted := b.tiers(now, instances, query, warmup)
	return sorted.chances()
}

// tiers sorts the usable instances by nearness.
func (b *Balancer) tiers(now time.Time, instances []sycamorerun.Instance, query Query, warmup time.Duration) tiers {
	var all []candidate
	for _, instance := range instances {
		if !instance.Serving() {
			continue
		}
		all = append(all, candidate{
			instance: instance, stats: b.of(now, instance.Name), tier: b.tier(instance),
		})
	}
	eject(now, all)
	compare(now, all, work{query.Rank, query.Objective})
	sorted := tiers{all: all}
	var full []*candidate
	for at := range all {
		c := &all[at]
		switch {
		case c.ejected || now.Before(c.stats.avoided) || slices.Contains(query.Tried, c.instance.Name):
		case c.stats.full(now, query.Rank):
			full = append(full, c)
		default:
			sorted.sets[c.tier].add(c)
		}
	}
	if len(sorted.sets[0].candidates)+len(sorted.sets[1].candidates)+len(sorted.sets[2].candidates) == 0 {
		// An instance knows better than this node whether it is still full.
		for _, c := range full {
			sorted.sets[c.tier].add(c)
		}
	}
	for at := range sorted.sets {
		sorted.sets[at].measure(now, warmup)
	}
	return sorted
}

// tier is 0 for the own availability zone, 1 for the region, 2 beyond.
func (b *Balancer) tier(instance sycamorerun.Instance) int {
	switch {
	case instance.AvailabilityZone == b.AvailabilityZone && instance.Region == b.Region:
		return 0
	case instance.Region == b.Region:
		return 1
	default:
		return 2
	}
}

func (b *Balancer) of(now time.Time, name string) *stats {
	known, ok := b.stats[name]
	if !ok {
		known = &stats{used: now}
		b.stats[name] = known
	}
	return known
}

// forget is the time after which the statistics of an unused instance go.
const forget = 10 * time.Minute

func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.swept) < forget {
		return
	}
	b.swept = now
	for name, known := range b.stats {
		if known.inFlight == 0 && now.Sub(known.used) > forget {
			delete(b.stats, name)
		}
	}
}
