package player

import (
	"context"
	"sync"
	"time"

	"sycamorerun/bench/deployer"
	"sycamorerun/bench/scraper"
)

// scrapeLimit bounds the reading of a process's counters, which a paused one
// never answers.
const scrapeLimit = 700 * time.Millisecond

// controlKinds are the streams between nodes that carry no calls.
var controlKinds = []string{"tracker", "distributor"}

// scopes are the label values of the connector's counters in the order of
// counts.
var scopes = [...]string{"zone", "region", "cross-region"}

// counts are sums of counters: control bytes by scope, the store's bytes to
// other regions, and its calls.
type counts struct {
	control [len(scopes)]float64
	store   float64
	calls   float64
}

// sampler reads the counters of a fleet.
type sampler struct {
	fleet *deployer.Fleet
	// last has each node's counters at the last reading. Those of a process
	// that started again begin at zero.
	last  []counts
	usage deployer.StoreStats
	total counts
}

func newSampler(fleet *deployer.Fleet) *sampler {
	return &sampler{fleet: fleet, last: make([]counts, len(fleet.Nodes))}
}

// run takes a sample each second. Nodes update their counters once a second,
// so a sample can have the bytes of none or two of these seconds.
func (s *sampler) run(ctx context.Context, start time.Time, duration time.Duration) []Sample {
	var samples []Sample
	s.read(ctx)
	before := s.total
	for at := time.Second; at <= duration; at += time.Second {
		deployer.Pause(ctx, time.Until(start.Add(at)))
		s.read(ctx)
		samples = append(samples, Sample{
			At: at.Seconds(), Zone: s.total.control[0] - before.control[0], Region: s.total.control[1] - before.control[1],
			Cross: s.total.control[2] - before.control[2], Store: s.total.store - before.store, Calls: s.total.calls - before.calls,
		})
		before = s.total
	}
	return samples
}

// read adds what was counted since the last reading to the total. A process
// that does not answer is read the next time.
func (s *sampler) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scrapeLimit)
	defer cancel()
	now := make([]counts, len(s.last))
	copy(now, s.last)
	stats := s.usage
	var group sync.WaitGroup
	for i, node := range s.fleet.Nodes {
		group.Go(func() {
			samples, err := scraper.Scrape(ctx, node.Operators)
			if err != nil {
				return
			}
			now[i].control = control(samples)
		})
	}
	group.Go(func() {
		if fresh, err := s.fleet.StoreStats(ctx); err == nil {
			stats = fresh
		}
	})
	group.Wait()
	for i := range now {
		for scope := range scopes {
			s.total.control[scope] += advance(s.last[i].control[scope], now[i].control[scope])
		}
	}
	s.total.calls += advance(s.usage.Calls(), stats.Calls())
	home := s.fleet.Spec.Zones[0].Region
	for _, node := range s.fleet.Nodes {
		if node.Zone.Region != home {
			s.total.store += advance(s.usage.Bytes(node.Name), stats.Bytes(node.Name))
		}
	}
	s.last, s.usage = now, stats
}

// control sums the control bytes that a node sent.
func control(samples []scraper.Sample) [len(scopes)]float64 {
	var sums [len(scopes)]float64
	for i, scope := range scopes {
		for _, kind := range controlKinds {
			sums[i] += scraper.Sum(samples, "sycamorerun_connector_stream_bytes", `scope="`+scope+`"`, `direction="out"`, `kind="`+kind+`"`)
		}
	}
	return sums
}

// advance returns what a counter counted between two readings. One that went
// back belongs to a new process.
func advance(before, now float64) float64 {
	if now < before {
		return now
	}
	return now - before
}
