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

// neighbour is a peer to which the plan has a link.
type neighbour struct {
	name    string
	address netip.AddrPort
	// dials is set if this node opens the link.
	dials  bool
	cancel context.CancelFunc
}

// plannedNeighbours returns the peers of a plan. A child dials its parent;
// between regions, the node with the lower name dials.
func plannedNeighbours(self string, plan planner.Plan) map[string]*neighbour {
	peers := map[string]*neighbour{}
	for _, link := range plan.Links {
		n := peers[link.Name]
		if n == nil {
			n = &neighbour{name: link.Name, address: link.Address}
			peers[link.Name] = n
		}
		n.dials = n.dials || link.Role == planner.RoleParent || link.Role == planner.RoleRegion && self < link.Name
	}
	return peers
}

// reconcile starts and stops the tasks that maintain links, to match a plan.
func (t *Tracker) reconcile(ctx context.Context, plan planner.Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seed = plan.Seed
	peers := plannedNeighbours(t.Self.Name, plan)
	for name, n := range t.neighbours {
		next := peers[name]
		if next == nil || next.address != n.address || next.dials != n.dials {
			n.cancel()
			delete(t.neighbours, name)
		}
	}
	for name, n := range peers {
		if t.neighbours[name] != nil {
			continue
		}
		t.neighbours[name] = n
		var linkCtx context.Context
		linkCtx, n.cancel = context.WithCancel(ctx)
		t.tasks.Go(func() { t.maintainLink(linkCtx, n) })
	}
}

// maintainLink keeps a link with a neighbour open until ctx ends.
func (t *Tracker) maintainLink(ctx context.Context, n *neighbour) {
	lastReceived := time.Now()
	lostAt := lastReceived
	for ctx.Err() == nil {
		if l := t.linkTo(n.name); l != nil {
			select {
			case <-ctx.Done():
			case <-l.done:
			}
			lostAt = time.Now()
			lastReceived = t.lastReceived(l, lostAt)
			continue
		}
		if !n.dials && time.Since(lostAt) < t.timing.dialGrace {
			sleep(ctx, t.timing.dialGrace/4)
			continue
		}
		err := t.connect(ctx, n.address, n.name)
		if err == nil {
			continue
		}
		level.Debug(t.Logger).Log("msg", "opening a link to a planned peer failed", "peer", n.name, "address", n.address, "err", err)
		if time.Since(lastReceived) >= t.timing.linkTimeout && ctx.Err() == nil {
			t.diagnose(ctx, n)
			lastReceived = time.Now()
		}
		sleep(ctx, rand.N(t.timing.maxRetryDelay))
	}
}

// diagnose probes other members of an unreachable peer's availability zone, to
// tell a failed node from a partition, and records the result.
func (t *Tracker) diagnose(ctx context.Context, n *neighbour) {
	t.mu.Lock()
	var members []*record
	if r := t.table.records[n.name]; r != nil {
		members = t.table.sample(r.AvailabilityZone, n.name, maxProbes)
	}
	t.mu.Unlock()
	unreachable := t.probe(ctx, members)
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[n.name] != nil {
		return
	}
	t.table.recordProbes(time.Now(), n.name, len(t.links), len(members), unreachable)
	level.Info(t.Logger).Log("msg", "peer unreachable", "peer", n.name, "address", n.address,
		"probed", len(members), "lost", len(unreachable), "links", len(t.links))
	t.metrics.unreachablePeers.Inc(1)
	t.flood(nil)
}

// probe dials each member and returns the names of the unreachable ones.
func (t *Tracker) probe(ctx context.Context, members []*record) []string {
	ctx, cancel := context.WithTimeout(ctx, t.timing.probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var unreachable []string
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
			unreachable = append(unreachable, r.Name)
		})
	}
	wait.Wait()
	return unreachable
}

// connect opens a link. An empty name accepts any node at the address.
func (t *Tracker) connect(ctx context.Context, to netip.AddrPort, name string) error {
	dialCtx, cancel := context.WithTimeout(ctx, t.timing.handshakeTimeout)
	defer cancel()
	conn, err := t.Open(dialCtx, to)
	if err != nil {
		return err
	}
	l := newLink(time.Now(), conn, true)
	if err := t.handshake(l, name); err != nil {
		_ = conn.Close()
		return err
	}
	t.tasks.Go(func() { t.runLink(l) })
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
