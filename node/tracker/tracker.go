// Package tracker keeps the membership: one record for each node, written by
// that node alone, flooded over the links of the plan, and the detection of
// nodes that fail.
package tracker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/node/planner"
)

const (
	// settle is how long changes are collected before the plan is made again,
	// at least: the collection takes settleFactor times as long as the last
	// update did, so that a flood of changes to a large fleet takes at most a
	// few percent of a core.
	settle       = 50 * time.Millisecond
	settleFactor = 30
	// linksMost bounds the links that peers open.
	linksMost = 256
)

// Tracker runs the membership protocol. The exported fields are set before Run
// and before any other method is called.
type Tracker struct {
	// Self has the name, incarnation, address, availability zone and region.
	Self sycamorerun.Instance
	// Open opens a stream to the tracker at a peer's address.
	Open func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Plan returns this node's links, planned over Reachable.
	Plan func() planner.Plan
	// Seeds returns addresses of other nodes for the first contact.
	Seeds func(ctx context.Context) ([]netip.AddrPort, error)
	// Version returns the configuration version in force here.
	Version func() sycamorerun.Version
	// VersionSeen is told the version that a peer's heartbeat carries.
	VersionSeen func(peer string, version sycamorerun.Version)
	// Changed is called after the set of records changed.
	Changed func()
	Logger  log.Logger
	Scope   tally.Scope

	once    sync.Once
	timing  timing
	metrics *metrics
	// changes signals that Changed has to be called.
	changes chan struct{}
	tasks   sync.WaitGroup

	mu         sync.Mutex
	running    bool
	seed       bool
	table      *table
	links      map[string]*link
	neighbours map[string]*neighbour
	stepped    time.Time
	beaten     time.Time
}

func (t *Tracker) setup() {
	t.once.Do(func() {
		now := time.Now()
		if t.Logger == nil {
			t.Logger = log.NewNopLogger()
		}
		if t.Scope == nil {
			t.Scope = tally.NoopScope
		}
		t.metrics = newMetrics(t.Scope)
		t.changes = make(chan struct{}, 1)
		if t.timing == (timing{}) {
			t.timing = standard
		}
		t.table = newTable(now, t.Self, t.timing.suspicion)
		t.links = map[string]*link{}
		t.neighbours = map[string]*neighbour{}
		t.stepped, t.beaten = now, now
	})
}

// Run keeps the links of the plan until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	t.setup()
	t.mu.Lock()
	t.running = true
	t.mu.Unlock()
	t.changed()
	t.tasks.Go(func() { t.notify(ctx) })
	t.tasks.Go(func() { t.join(ctx) })
	t.tasks.Go(func() { t.heal(ctx) })
	t.tasks.Go(func() { t.discover(ctx) })
	ticker := time.NewTicker(t.timing.step)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			t.tick(now)
		}
	}
	t.stop()
	t.tasks.Wait()
	return nil
}

func (t *Tracker) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = false
	for _, l := range t.links {
		l.close()
	}
}

// Announce takes the local upstream's service, state and slots. It has to be
// repeated within 5 s.
func (t *Tracker) Announce(now time.Time, service string, state sycamorerun.State, slots int) {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.announce(now, service, state, slots)
	t.spread(nil)
}

// SetDistance takes the distance of the store from this node.
func (t *Tracker) SetDistance(now time.Time, distance int) {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.measure(now, distance) {
		t.spread(nil)
	}
}

// Live returns the instances that take part, sorted by name, suspects
// included. The slice is shared and must not be changed.
func (t *Tracker) Live(time.Time) []sycamorerun.Instance {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.live()
}

// Reachable is Live without the availability zones that this node's zone can't
// reach. The plan is made over it.
func (t *Tracker) Reachable(time.Time) []sycamorerun.Instance {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.reachable()
}

// Suspects returns the names of the nodes that have yet to refute a suspicion.
func (t *Tracker) Suspects(time.Time) []string {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.suspects()
}

// Leave announces that this node leaves and waits until all links have sent
// that.
func (t *Tracker) Leave(ctx context.Context) {
	t.setup()
	t.mu.Lock()
	t.table.leave(time.Now())
	t.spread(nil)
	t.mu.Unlock()
	for ctx.Err() == nil && !t.flushed() {
		sleep(ctx, 10*time.Millisecond)
	}
}

func (t *Tracker) flushed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		if l.writing || len(l.dirty) > 0 {
			return false
		}
	}
	return true
}

// spread marks the news for all links but the one that it came from, and
// announces the change.
func (t *Tracker) spread(from *link) {
	news := t.table.news
	if len(news) == 0 {
		return
	}
	t.table.news = nil
	for _, l := range t.links {
		if l != from {
			l.mark(news)
			l.wake()
		}
	}
	t.changed()
}

func (t *Tracker) changed() {
	select {
	case t.changes <- struct{}{}:
	default:
	}
}

// notify calls Changed and follows the plan, once for changes that come close
// together.
func (t *Tracker) notify(ctx context.Context) {
	cost := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changes:
		}
		sleep(ctx, max(settle, settleFactor*cost))
		started := time.Now()
		if t.Changed != nil {
			t.Changed()
		}
		if ctx.Err() == nil {
			t.reconcile(ctx, t.Plan())
		}
		cost = min(time.Since(started), settle)
	}
}

// tick makes the decisions that time drives.
func (t *Tracker) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.stepped) >= t.timing.pause {
		level.Warn(t.Logger).Log("msg", "process was paused", "time", now.Sub(t.stepped))
		t.table.resume(now)
		for _, l := range t.links {
			l.heard = now
		}
	}
	t.stepped = now
	if t.table.own.overtaken != nil {
		level.Info(t.Logger).Log("msg", "superseding a record of this node", "sequence", t.table.own.overtaken.Sequence,
			"suspected", t.table.own.overtaken.suspected(), "address", t.table.own.overtaken.Address)
		t.metrics.refutation.Inc(1)
	}
	if t.table.tick(now) {
		t.changed()
	}
	t.spread(nil)
	beat := now.Sub(t.beaten) >= t.timing.heartbeat-t.timing.step/2
	if beat {
		t.beaten = now
		t.metrics.members.Update(float64(len(t.table.live())))
		t.metrics.suspects.Update(float64(len(t.table.suspects())))
		t.metrics.zones.Update(float64(len(t.table.claims)))
	}
	for _, l := range t.links {
		t.tend(now, l, beat)
	}
}

// tend sends the heartbeat of a link that this end opened and closes a link
// that is silent or not wanted.
func (t *Tracker) tend(now time.Time, l *link, beat bool) {
	if beat && l.opened {
		l.beat = true
		l.wake()
	}
	if t.neighbours[l.peer] != nil || !l.opened {
		l.unwanted = time.Time{}
	} else if l.unwanted.IsZero() {
		l.unwanted = now
	}
	if now.Sub(l.heard) >= t.timing.silence || !l.unwanted.IsZero() && now.Sub(l.unwanted) >= t.timing.linger {
		delete(t.links, l.peer)
		l.close()
	}
}

func (t *Tracker) link(name string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[name]
}

// lastHeard returns when the peer of a link was heard. Time in which this
// process was paused doesn't count.
func (t *Tracker) lastHeard(l *link, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.stepped) >= t.timing.pause {
		return now
	}
	return l.heard
}
