package tracker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun/node/planner"
)

// neighbour is a peer that the plan links to.
type neighbour struct {
	name    string
	address netip.AddrPort
	// opens says that this end opens the link.
	opens  bool
	cancel context.CancelFunc
}

// wanted returns the peers of a plan. The child opens the link to its parent;
// between regions, the lower name opens.
func wanted(self string, plan planner.Plan) map[string]*neighbour {
	peers := map[string]*neighbour{}
	for _, link := range plan.Links {
		n := peers[link.Name]
		if n == nil {
			n = &neighbour{name: link.Name, address: link.Address}
			peers[link.Name] = n
		}
		n.opens = n.opens || link.Role == planner.RoleParent || link.Role == planner.RoleRegion && self < link.Name
	}
	return peers
}

// reconcile starts and stops neighbours to match a plan.
func (t *Tracker) reconcile(ctx context.Context, plan planner.Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seed = plan.Seed
	peers := wanted(t.Self.Name, plan)
	for name, n := range t.neighbours {
		next := peers[name]
		if next == nil || next.address != n.address || next.opens != n.opens {
			n.cancel()
			delete(t.neighbours, name)
		}
	}
	for name, n := range peers {
		if t.neighbours[name] != nil {
			continue
		}
		t.neighbours[name] = n
		var own context.Context
		own, n.cancel = context.WithCancel(ctx)
		t.tasks.Go(func() { t.keep(own, n) })
	}
}

// keep holds a link with a neighbour until ctx ends.
func (t *Tracker) keep(ctx context.Context, n *neighbour) {
	heard := time.Now()
	lost := heard
	for ctx.Err() == nil {
		if l := t.link(n.name); l != nil {
			select {
			case <-ctx.Done():
			case <-l.done:
			}
			lost = time.Now()
			heard = t.lastHeard(l, lost)
			continue
		}
		if !n.opens && time.Since(lost) < t.timing.grace {
			sleep(ctx, t.timing.grace/4)
			continue
		}
		err := t.connect(ctx, n.address, n.name)
		if err == nil {
			continue
		}
		level.Debug(t.Logger).Log("msg", "link not opened", "peer", n.name, "address", n.address, "err", err)
		if time.Since(heard) >= t.timing.silence && ctx.Err() == nil {
			t.investigate(ctx, n)
			heard = time.Now()
		}
		sleep(ctx, rand.N(t.timing.retry))
	}
}

// investigate tries some members beside an unreachable peer, to tell a failed
// node from a partition, and records the conclusion.
func (t *Tracker) investigate(ctx context.Context, n *neighbour) {
	t.mu.Lock()
	var others []*record
	if r := t.table.records[n.name]; r != nil {
		others = t.table.sample(r.AvailabilityZone, n.name, probes)
	}
	t.mu.Unlock()
	lost := t.probe(ctx, others)
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[n.name] != nil {
		return
	}
	t.table.conclude(time.Now(), n.name, len(t.links), len(others), lost)
	level.Info(t.Logger).Log("msg", "peer not reachable", "peer", n.name, "address", n.address,
		"probed", len(others), "lost", len(lost), "links", len(t.links))
	t.metrics.unreachable.Inc(1)
	t.spread(nil)
}

// probe opens a stream to each member and returns the names of those where
// that fails.
func (t *Tracker) probe(ctx context.Context, members []*record) []string {
	ctx, cancel := context.WithTimeout(ctx, t.timing.probing)
	defer cancel()
	var mu sync.Mutex
	var lost []string
	var wait sync.WaitGroup
	for _, r := range members {
		wait.Go(func() {
			conn, err := t.Open(ctx, r.Address)
			if err == nil {
				_ = conn.Close()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lost = append(lost, r.Name)
		})
	}
	wait.Wait()
	return lost
}

// connect opens a link. An empty name takes whoever answers.
func (t *Tracker) connect(ctx context.Context, to netip.AddrPort, name string) error {
	opening, cancel := context.WithTimeout(ctx, t.timing.patience)
	defer cancel()
	conn, err := t.Open(opening, to)
	if err != nil {
		return err
	}
	l := newLink(time.Now(), conn, true)
	if err := t.greet(l, name); err != nil {
		_ = conn.Close()
		return err
	}
	t.tasks.Go(func() { t.run(l) })
	return nil
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
