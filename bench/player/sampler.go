package player

import (
	"context"
	"sync"
	"time"

	"sycamorerun/bench/deployer"
	"sycamorerun/bench/scraper"
)

// scrapeTimeout bounds a reading of the counters, since a paused process does
// not respond.
const scrapeTimeout = 700 * time.Millisecond

// controlStreamKinds are the kinds of streams between nodes that do not carry
// calls.
var controlStreamKinds = []string{"tracker", "distributor"}

// scopes are the values of the label scope of the connector's counters, in the
// order of counterSums.control.
var scopes = [...]string{"zone", "region", "cross-region"}

// counterSums are sums of counters: control bytes by scope, bytes between the
// store and other regions, and store calls.
type counterSums struct {
	control [len(scopes)]float64
	store   float64
	calls   float64
}

// sampler samples the counters of a fleet.
type sampler struct {
	fleet *deployer.Fleet
	// lastSums has the counters of each node at the last reading. The counters
	// of a restarted process begin at zero.
	lastSums   []counterSums
	storeStats deployer.StoreStats
	total      counterSums
}

func newSampler(fleet *deployer.Fleet) *sampler {
	return &sampler{fleet: fleet, lastSums: make([]counterSums, len(fleet.Nodes))}
}

// run takes a sample every second. Nodes also update their counters once per
// second, so a sample can contain the bytes of zero or two updates.
func (s *sampler) run(ctx context.Context, start time.Time, duration time.Duration) []Sample {
	var samples []Sample
	s.readCounters(ctx)
	before := s.total
	for at := time.Second; at <= duration; at += time.Second {
		deployer.Pause(ctx, time.Until(start.Add(at)))
		s.readCounters(ctx)
		samples = append(samples, Sample{
			At: at.Seconds(), ZoneBytes: s.total.control[0] - before.control[0], RegionBytes: s.total.control[1] - before.control[1],
			CrossRegionBytes: s.total.control[2] - before.control[2], StoreBytes: s.total.store - before.store, StoreCalls: s.total.calls - before.calls,
		})
		before = s.total
	}
	return samples
}

// readCounters adds the increase since the last reading to the total. The
// increase of a process that does not respond is added by a later reading.
func (s *sampler) readCounters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	current := make([]counterSums, len(s.lastSums))
	copy(current, s.lastSums)
	stats := s.storeStats
	var group sync.WaitGroup
	for i, node := range s.fleet.Nodes {
		group.Go(func() {
			samples, err := scraper.Scrape(ctx, node.Operators)
			if err != nil {
				return
			}
			current[i].control = controlBytes(samples)
		})
	}
	group.Go(func() {
		if fresh, err := s.fleet.StoreStats(ctx); err == nil {
			stats = fresh
		}
	})
	group.Wait()
	for i := range current {
		for scope := range scopes {
			s.total.control[scope] += counterIncrease(s.lastSums[i].control[scope], current[i].control[scope])
		}
	}
	s.total.calls += counterIncrease(s.storeStats.Calls(), stats.Calls())
	storeRegion := s.fleet.Spec.Zones[0].Region
	for _, node := range s.fleet.Nodes {
		if node.Zone.Region != storeRegion {
			s.total.store += counterIncrease(s.storeStats.Bytes(node.Name), stats.Bytes(node.Name))
		}
	}
	s.lastSums, s.storeStats = current, stats
}

// controlBytes returns the control bytes that a node sent, by scope.
func controlBytes(samples []scraper.Sample) [len(scopes)]float64 {
	var sums [len(scopes)]float64
	for i, scope := range scopes {
		for _, kind := range controlStreamKinds {
			sums[i] += scraper.Sum(samples, "sycamorerun_connector_stream_bytes", `scope="`+scope+`"`, `direction="out"`, `kind="`+kind+`"`)
		}
	}
	return sums
}

// counterIncrease returns the increase of a counter between two readings. A
// decrease means that the process restarted and the counter began at zero.
func counterIncrease(before, now float64) float64 {
	if now < before {
		return now
	}
	return now - before
}
