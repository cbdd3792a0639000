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
	// Bounds of the delay between contacts while there is no link.
	joinLeast = 100 * time.Millisecond
	joinMost  = 10 * time.Second
	// contacts is the number of seeds that one round tries.
	contacts = 3
	// healers is the expected number of nodes on each side of a partition
	// that try to reach a lost node in an interval. It bounds the dials to a
	// failed node's address, whatever the size of the fleet.
	healers = 16
	// reseeding divides the healers that contact a seed instead, which joins
	// groups that have forgotten each other.
	reseeding = 12
)

// join contacts seeds while this node has no link.
func (t *Tracker) join(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if t.linked() {
			failures = 0
			sleep(ctx, joinLeast)
			continue
		}
		t.contact(ctx, contacts)
		sleep(ctx, jitter(failures))
		failures++
	}
}

// jitter returns a delay with full jitter.
func jitter(failures int) time.Duration {
	bound := joinMost
	if failures < 7 {
		bound = min(bound, joinLeast<<failures)
	}
	return rand.N(bound) + 1
}

func (t *Tracker) linked() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links) > 0
}

// contact tries up to n seeds in random order until one answers.
func (t *Tracker) contact(ctx context.Context, n int) {
	if t.Seeds == nil {
		return
	}
	seeds, err := t.Seeds(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		level.Warn(t.Logger).Log("msg", "no seeds", "err", err)
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
		level.Debug(t.Logger).Log("msg", "seed not reached", "address", seed, "err", err)
	}
}

// discover looks for groups of nodes that this one does not know. Nodes that
// start at the same time can form such groups: each has links within its own
// and so contacts no more seeds. Only the first member of an availability
// zone does this, so that the seeds are read once per zone and interval.
func (t *Tracker) discover(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		bound := t.timing.discoveryMost
		if n < 4 {
			bound = min(bound, t.timing.discovery<<n)
		}
		sleep(ctx, bound/2+rand.N(bound/2))
		if ctx.Err() == nil && t.Plan().Seed {
			t.contactUnknown(ctx)
		}
	}
}

// contactUnknown opens links to a few seeds that are no known member's.
func (t *Tracker) contactUnknown(ctx context.Context) {
	if t.Seeds == nil {
		return
	}
	seeds, err := t.Seeds(ctx)
	if err != nil {
		level.Debug(t.Logger).Log("msg", "seeds not read", "err", err)
		return
	}
	known := map[netip.AddrPort]bool{t.Self.Address: true}
	for _, member := range t.Live(time.Now()) {
		known[member.Address] = true
	}
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return known[a] })
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds[:min(len(seeds), contacts)] {
		t.tasks.Go(func() {
			if err := t.connect(ctx, seed, ""); err != nil {
				level.Debug(t.Logger).Log("msg", "seed not reached", "address", seed, "err", err)
			}
		})
	}
}

// heal tries to reach nodes and availability zones that were lost. A link to
// one of them exchanges the records of both sides.
func (t *Tracker) heal(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, t.timing.healing/2+rand.N(t.timing.healing))
		for _, zone := range t.claimedZones() {
			t.retryZone(ctx, zone)
		}
		t.confirmZones(ctx)
		t.retryLost(ctx)
	}
}

func (t *Tracker) claimedZones() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.records[t.Self.Name].unreachable
}

// retryZone withdraws the claim when a member of the zone answers. A zone
// without records can't be tried; its nodes come back by themselves.
func (t *Tracker) retryZone(ctx context.Context, zone string) {
	t.mu.Lock()
	others := t.table.sample(zone, "", 1)
	t.mu.Unlock()
	for _, r := range others {
		if t.connect(ctx, r.Address, r.Name) != nil {
			return
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.withdraw(time.Now(), zone)
	t.spread(nil)
}

// confirmZones makes the first member of an availability zone try the zones
// that other zones can't reach.
func (t *Tracker) confirmZones(ctx context.Context) {
	for zone, others := range t.unconfirmed() {
		lost := t.probe(ctx, others)
		if ctx.Err() != nil || len(others) < probesLeast || len(lost) < len(others) {
			continue
		}
		t.mu.Lock()
		t.table.claim(time.Now(), zone)
		t.spread(nil)
		t.mu.Unlock()
	}
}

func (t *Tracker) unconfirmed() map[string][]*record {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := map[string][]*record{}
	own := t.table.records[t.Self.Name].AvailabilityZone
	for zone := range t.table.claims {
		if t.seed && zone != own && !t.table.claimedBy(own, zone) {
			zones[zone] = t.table.sample(zone, "", probes)
		}
	}
	return zones
}

// retryLost tries a failed node, or now and then a seed.
func (t *Tracker) retryLost(ctx context.Context) {
	t.mu.Lock()
	members := len(t.table.live())
	r := t.table.lost()
	t.mu.Unlock()
	if rand.IntN(members+1) > healers {
		return
	}
	if rand.IntN(reseeding) == 0 {
		t.contact(ctx, 1)
	}
	if r != nil {
		_ = t.connect(ctx, r.Address, r.Name)
	}
}
