// Package balancer selects an upstream for a call by locality, load and the
// outcomes of earlier calls.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"sycamorerun"
)

// Query describes the instance that an attempt needs.
type Query struct {
	Service string
	// Tried lists the names of instances that must not be picked.
	Tried []string
	// LastReason is the reason why the last attempt of the call failed, or empty.
	LastReason string
	// Rank is the priority of the call; 1 is the most urgent.
	Rank int
	// Objective is the latency objective of the call. Run times are compared
	// between calls of the same rank and objective.
	Objective time.Duration
}

// Load is the load of an upstream as reported by the node beside it.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// RunTime is the mean time for which recent calls of the same rank and objective
	// held a slot; zero means unknown.
	RunTime time.Duration
	// Slowdown is how long work takes on the upstream's machine, relative to its usual
	// time, as the upstream told SlowdownAge before the report. Zero means unknown.
	Slowdown    float64
	SlowdownAge time.Duration
}

// Observation is the outcome of an attempt at a picked instance.
type Observation struct {
	Instance string
	// Incarnation and Sequence are those of the record of the instance that was
	// picked, Started is when the attempt began.
	Incarnation sycamorerun.Incarnation
	Sequence    uint64
	Started     time.Time
	Service     string
	Result      sycamorerun.Result
	Reason      string
	// Status is the HTTP status code if the upstream answered.
	Status int
	// Load is nil if the attempt returned no load report.
	Load *Load
	// After is the time until the instance expects capacity for calls of Rank;
	// zero means unknown.
	After time.Duration
	// Bytes is the size of the bodies of the request and the response; zero means
	// unknown.
	Bytes int64
	// Rank and Objective are those of the call.
	Rank      int
	Objective time.Duration
}

func (o *Observation) picked() recordVersion { return recordVersion{o.Incarnation, o.Sequence} }

// Chance is the expected share of the next calls that an instance gets.
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
	// RoundRobin picks the serving instances in turn, whatever their zone, load
	// and outcomes. It is the simplest policy and the baseline for measurements.
	RoundRobin bool
	// Scope receives the metrics.
	Scope tally.Scope

	roundRobinIndex uint64
	mutex           sync.Mutex
	metrics         *metrics
	stats           map[string]*stats
	sizes           sizes
	explorations    map[regionKey]*exploration
	// candidates is reused by each pick.
	candidates []candidate
	sweptAt    time.Time
}

// New returns a balancer for a node in an availability zone and region.
func New(availabilityZone, region string) *Balancer {
	return &Balancer{
		AvailabilityZone: availabilityZone, Region: region,
		Warmup: func(string) time.Duration { return 0 },
		Scope:  tally.NoopScope,
		Random: rand.Float64, stats: map[string]*stats{}, sizes: sizes{}, explorations: map[regionKey]*exploration{},
		// A random start keeps nodes that start together from picking the same
		// instance first.
		roundRobinIndex: uint64(rand.Uint32()),
	}
}

// Pick chooses an instance and counts a call in flight there until Observe is
// called for it. It reports false if no instance can be picked.
func (b *Balancer) Pick(now time.Time, query Query) (sycamorerun.Instance, bool) {
	return b.PickAmong(now, query, b.Instances(query.Service))
}

// PickAmong is Pick with a subset of the service's instances.
func (b *Balancer) PickAmong(now time.Time, query Query, instances []sycamorerun.Instance) (sycamorerun.Instance, bool) {
	warmup := b.Warmup(query.Service)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now)
	if b.metrics == nil {
		b.metrics = newMetrics(b.Scope)
	}
	if b.RoundRobin {
		return b.nextRoundRobin(instances, query.Tried)
	}
	tiers := b.groupByTier(now, instances, query, warmup)
	b.explore(now, query.Service, &tiers)
	tier := tiers.choose(b.Random())
	if tier == nil {
		b.metrics.unsent.Inc(1)
		return sycamorerun.Instance{}, false
	}
	chosen := tier.pick(b.Random)
	chosen.stats.inFlight++
	chosen.stats.lastUsed = now
	b.metrics.picks[chosen.tier].Inc(1)
	return *chosen.instance, true
}

// nextRoundRobin returns the next serving instance in round-robin order.
func (b *Balancer) nextRoundRobin(instances []sycamorerun.Instance, tried []string) (sycamorerun.Instance, bool) {
	for range instances {
		b.roundRobinIndex++
		instance := instances[b.roundRobinIndex%uint64(len(instances))]
		if instance.Serving() && !slices.Contains(tried, instance.Name) {
			return instance, true
		}
	}
	return sycamorerun.Instance{}, false
}

// Observe records the outcome of an attempt.
func (b *Balancer) Observe(now time.Time, observation Observation) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.instanceStats(now, observation.Instance).observe(now, observation)
	if observation.Result == sycamorerun.Answered && observation.Bytes > 0 {
		b.sizes.record(sizeKey{observation.Service, callKind{observation.Rank, observation.Objective}}, observation.Bytes)
	}
}

// Chances returns the share of the next calls that Pick would send to each
// instance, for explanations.
func (b *Balancer) Chances(now time.Time, query Query) []Chance {
	instances := b.Instances(query.Service)
	warmup := b.Warmup(query.Service)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	grouped := b.groupByTier(now, instances, query, warmup)
	return grouped.chances()
}

// groupByTier evaluates the serving instances and groups those that can be picked
// by tier.
func (b *Balancer) groupByTier(now time.Time, instances []sycamorerun.Instance, query Query, warmup time.Duration) tieredCandidates {
	all := b.candidates[:0]
	for at := range instances {
		instance := &instances[at]
		if !instance.Serving() {
			continue
		}
		known := b.instanceStats(now, instance.Name)
		known.process.follow(instance)
		all = append(all, candidate{instance: instance, stats: known, tier: b.tierOf(instance)})
	}
	b.candidates = all
	markEjected(now, all)
	kind := callKind{query.Rank, query.Objective}
	run := setSpeeds(now, all, kind)
	applySlowdowns(now, all)
	grouped := tieredCandidates{all: all}
	refused := overloadReasons[query.LastReason] || linkReasons[query.LastReason]
	var full, ejected []*candidate
	options := farOptions{unlimited: true, share: b.sizes.lightness(sizeKey{query.Service, kind})}
	for at := range all {
		c := &all[at]
		tried := slices.Contains(query.Tried, c.instance.Name)
		if c.ejected && !tried && (len(query.Tried) == 0 || !now.Before(c.stats.process.unreachableUntil)) {
			ejected = append(ejected, c)
		}
		if c.ejected || now.Before(c.stats.process.avoidedUntil) {
			continue
		}
		if c.tier < farTier && (!tried || refused) {
			options.unlimited = false
		}
		options.forbidden = options.forbidden || refused && tried && c.tier == farTier
		switch {
		case tried:
		case c.stats.full(now, kind):
			full = append(full, c)
		default:
			c.pickable = true
			grouped.tiers[c.tier].add(c)
		}
	}
	options.full = grouped.near() == 0
	if !refused || options.unlimited {
		grouped.addFull(full)
	}
	if grouped.empty() && len(full) == 0 {
		// A call to an instance that has failed may be answered all the same. One that
		// can't be reached is tried once.
		grouped.addAll(ejected)
	}
	grouped.evaluate(now, warmup, reachRange(query.Objective, run), options)
	return grouped
}

// tierOf returns 0 for instances in the availability zone of this node, 1 for
// others in its region and 2 for other regions.
func (b *Balancer) tierOf(instance *sycamorerun.Instance) int {
	switch {
	case instance.AvailabilityZone == b.AvailabilityZone && instance.Region == b.Region:
		return 0
	case instance.Region == b.Region:
		return 1
	default:
		return 2
	}
}

// instanceStats returns the statistics of the named instance and creates them if
// there are none.
func (b *Balancer) instanceStats(now time.Time, name string) *stats {
	known, ok := b.stats[name]
	if !ok {
		known = &stats{lastUsed: now}
		b.stats[name] = known
	}
	return known
}

// statsRetention is the time after which the statistics of an unused instance are
// deleted.
const statsRetention = 10 * time.Minute

func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < statsRetention {
		return
	}
	b.sweptAt = now
	for name, known := range b.stats {
		if known.inFlight == 0 && now.Sub(known.lastUsed) > statsRetention {
			delete(b.stats, name)
		}
	}
	for key, known := range b.explorations {
		if now.Sub(known.next) > statsRetention {
			delete(b.explorations, key)
		}
	}
}
