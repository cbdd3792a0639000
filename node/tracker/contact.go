package tracker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// minJoinDelay and maxJoinDelay bound the delay between attempts to contact
	// seeds while there is no link.
	minJoinDelay = 100 * time.Millisecond
	maxJoinDelay = 10 * time.Second
	// seedsPerRound is the number of seeds that one round tries.
	seedsPerRound = 3
	// reconnectingNodes is the expected number of nodes on each side of a
	// partition that try to reconnect to an absent node in one interval. It bounds
	// the dials to an absent node's address independently of the size of the
	// fleet.
	reconnectingNodes = 16
	// One in seedContactOdds attempts to reconnect also contacts a seed, which
	// joins groups of nodes that no longer have records of each other.
	seedContactOdds = 12
)

// join contacts seeds as long as this node has no link.
func (t *Tracker) join(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if t.hasLinks() {
			failures = 0
			sleep(ctx, minJoinDelay)
			continue
		}
		t.contactSeeds(ctx, seedsPerRound)
		sleep(ctx, backoff(failures))
		failures++
	}
}

// backoff returns an exponential delay with full jitter.
func backoff(failures int) time.Duration {
	bound := maxJoinDelay
	if failures < 7 {
		bound = min(bound, minJoinDelay<<failures)
	}
	return rand.N(bound) + 1
}

func (t *Tracker) hasLinks() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links) > 0
}

// contactSeeds tries up to n seeds in random order until a link to one is open.
func (t *Tracker) contactSeeds(ctx context.Context, n int) {
	if t.Seeds == nil {
		return
	}
	seeds, err := t.Seeds(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		level.Warn(t.Logger).Log("msg", "reading the seed addresses failed", "err", err)
		return
	}
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds {
		if n == 0 || ctx.Err() != nil {
			return
		}
		if seed == t.Self.Address {
			continue
		}
		n--
		err := t.connect(ctx, seed, "")
		if err == nil {
			return
		}
		level.Debug(t.Logger).Log("msg", "opening a link to a seed failed", "address", seed, "err", err)
	}
}

// discover looks for groups of nodes that this node has no records of. Nodes
// that start at the same time can form separate groups: each node has a link
// within its group and therefore contacts no more seeds. Only the root of an
// availability zone runs discovery, so that the seeds are read once per zone and
// interval.
func (t *Tracker) discover(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		bound := t.timing.maxDiscoveryInterval
		if n < 4 {
			bound = min(bound, t.timing.minDiscoveryInterval<<n)
		}
		sleep(ctx, bound/2+rand.N(bound/2))
		if ctx.Err() == nil && t.Plan().Seed {
			t.contactUnknownSeeds(ctx)
		}
	}
}

// contactUnknownSeeds opens links to some of the seeds that belong to no known
// member.
func (t *Tracker) contactUnknownSeeds(ctx context.Context) {
	if t.Seeds == nil {
		return
	}
	seeds, err := t.Seeds(ctx)
	if err != nil {
		level.Debug(t.Logger).Log("msg", "reading the seed addresses failed", "err", err)
		return
	}
	known := map[netip.AddrPort]bool{t.Self.Address: true}
	for _, member := range t.Live(time.Now()) {
		known[member.Address] = true
	}
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return known[a] })
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds[:min(len(seeds), seedsPerRound)] {
		t.tasks.Go(func() {
			if err := t.connect(ctx, seed, ""); err != nil {
				level.Debug(t.Logger).Log("msg", "opening a link to a seed failed", "address", seed, "err", err)
			}
		})
	}
}

// heal tries to reconnect to absent nodes and unreachable availability zones. A
// new link synchronizes the records of both sides.
func (t *Tracker) heal(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, t.timing.healInterval/2+rand.N(t.timing.healInterval))
		for _, zone := range t.reportedZones() {
			t.retryZone(ctx, zone)
		}
		t.probeReportedZones(ctx)
		t.retryAbsent(ctx)
	}
}

func (t *Tracker) reportedZones() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.records[t.Self.Name].unreachable
}

// retryZone withdraws the unreachability report when a member of the zone
// answers. A zone without records can't be probed; its nodes rejoin through
// their own attempts.
func (t *Tracker) retryZone(ctx context.Context, zone string) {
	t.mu.Lock()
	members := t.table.sample(zone, "", 1)
	t.mu.Unlock()
	for _, r := range members {
		if t.connect(ctx, r.Address, r.Name) != nil {
			return
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.withdrawReport(time.Now(), zone)
	t.flood(nil)
}

// probeReportedZones probes the zones that other zones report as unreachable,
// if this node is the root of its availability zone.
func (t *Tracker) probeReportedZones(ctx context.Context) {
	for zone, members := range t.unconfirmedZones() {
		unreachable := t.probe(ctx, members)
		if ctx.Err() != nil || len(members) < minProbes || len(unreachable) < len(members) {
			continue
		}
		t.mu.Lock()
		t.table.reportUnreachable(time.Now(), zone)
		t.flood(nil)
		t.mu.Unlock()
	}
}

func (t *Tracker) unconfirmedZones() map[string][]*record {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := map[string][]*record{}
	ownZone := t.table.records[t.Self.Name].AvailabilityZone
	for zone := range t.table.reports {
		if t.seed && zone != ownZone && !t.table.reportedBy(ownZone, zone) {
			zones[zone] = t.table.sample(zone, "", maxProbes)
		}
	}
	return zones
}

// retryAbsent tries to reconnect to a node that has failed or left, and
// occasionally contacts a seed.
func (t *Tracker) retryAbsent(ctx context.Context) {
	t.mu.Lock()
	members := len(t.table.live())
	r := t.table.randomAbsent()
	t.mu.Unlock()
	if rand.IntN(members+1) > reconnectingNodes {
		return
	}
	if rand.IntN(seedContactOdds) == 0 {
		t.contactSeeds(ctx, 1)
	}
	if r != nil {
		_ = t.connect(ctx, r.Address, r.Name)
	}
}
