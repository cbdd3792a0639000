// Package tracker implements the membership protocol. Each node writes one
// record, which is flooded over the links of the plan, and nodes detect the
// failures of their peers.
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
	// planDelay is the minimum time for which changes are collected before the
	// plan is computed again. If planDelayFactor times the duration of the last
	// update is longer, changes are collected for that time, so that many changes
	// in a large fleet use at most a few percent of a core. The duration counts
	// as at most planDelay.
	planDelay       = 50 * time.Millisecond
	planDelayFactor = 30
	// flushInterval is the time between two checks whether all links have sent their
	// records.
	flushInterval = 10 * time.Millisecond
	// maxLinks is the number of open links at which further links opened by peers
	// are rejected.
	maxLinks = 256
)

// Tracker runs the membership protocol. The exported fields have to be set
// before Run or any other method is called.
type Tracker struct {
	// Self holds the name, incarnation, address, availability zone and region
	// of this node.
	Self sycamorerun.Instance
	// Open opens a stream to the tracker at a peer's address.
	Open func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Plan returns this node's links, planned over the result of Reachable.
	Plan func() planner.Plan
	// Seeds returns addresses of other nodes to contact first.
	Seeds func(ctx context.Context) ([]netip.AddrPort, error)
	// Version returns the configuration version that this node's heartbeats
	// carry.
	Version func() sycamorerun.Version
	// VersionSeen is called with the configuration version that a peer's
	// heartbeat carries.
	VersionSeen func(peer string, version sycamorerun.Version)
	// Departed is called with the departures that earlier runs of this node confirmed,
	// as far as a peer knows them.
	Departed func(now time.Time, departures []sycamorerun.Departure)
	// Changed is called after the records have changed.
	Changed func()
	Logger  log.Logger
	Scope   tally.Scope

	once    sync.Once
	timing  timing
	metrics *metrics
	// changes signals that Changed has to be called and the plan followed.
	changes chan struct{}
	tasks   sync.WaitGroup

	mu      sync.Mutex
	running bool
	// seed is set if this node is the root of its availability zone in tree 0.
	seed          bool
	table         *table
	links         map[string]*link
	neighbours    map[string]*neighbour
	lastTick      time.Time
	lastHeartbeat time.Time
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
			t.timing = defaultTiming
		}
		t.table = newTable(now, t.Self, t.timing.suspicionTimeout)
		t.links = map[string]*link{}
		t.neighbours = map[string]*neighbour{}
		t.lastTick, t.lastHeartbeat = now, now
	})
}

// Run runs the protocol and maintains the planned links until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	t.setup()
	t.mu.Lock()
	t.running = true
	t.mu.Unlock()
	t.signalChange()
	t.tasks.Go(func() { t.notify(ctx) })
	t.tasks.Go(func() { t.join(ctx) })
	t.tasks.Go(func() { t.heal(ctx) })
	t.tasks.Go(func() { t.discover(ctx) })
	ticker := time.NewTicker(t.timing.tickInterval)
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

// Announce sets the local upstream's service, state and slots. It has to be
// repeated within 5 s.
func (t *Tracker) Announce(now time.Time, service string, state sycamorerun.State, slots int, release string) {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.announce(now, service, state, slots, release)
	t.flood(nil)
}

// SetDepartures publishes the departures that this node confirmed, so that its next
// run learns them from its peers if the store can't be reached.
func (t *Tracker) SetDepartures(now time.Time, departures []sycamorerun.Departure) {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.setDepartures(now, departures) {
		t.flood(nil)
	}
}

// SetDistance sets the distance of the store from this node.
func (t *Tracker) SetDistance(now time.Time, distance int) {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.setDistance(now, distance) {
		t.flood(nil)
	}
}

// Live returns the live instances, suspects included, sorted by name. The slice
// is shared and must not be changed.
func (t *Tracker) Live(time.Time) []sycamorerun.Instance {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.live()
}

// Reachable returns the live instances except those in availability zones that
// this node's zone can't reach. The plan is computed over it.
func (t *Tracker) Reachable(time.Time) []sycamorerun.Instance {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.reachable()
}

// Suspects returns the names of the nodes that are suspected and have neither
// refuted it nor failed yet, sorted.
func (t *Tracker) Suspects(time.Time) []string {
	t.setup()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.suspects()
}

// Leave marks this node as left and waits until all links have sent the record.
func (t *Tracker) Leave(ctx context.Context) {
	t.setup()
	t.mu.Lock()
	t.table.leave(time.Now())
	t.flood(nil)
	t.mu.Unlock()
	t.Flush(ctx)
}

// Flush waits until all links have sent the changed records.
func (t *Tracker) Flush(ctx context.Context) {
	t.setup()
	for ctx.Err() == nil && !t.flushed() {
		sleep(ctx, flushInterval)
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

// flood queues the changed records on all links except the one that they came
// from, and signals the change.
func (t *Tracker) flood(from *link) {
	names := t.table.pending
	if len(names) == 0 {
		return
	}
	t.table.pending = nil
	for _, l := range t.links {
		if l != from {
			l.markDirty(names)
			l.wake()
		}
	}
	t.signalChange()
}

func (t *Tracker) signalChange() {
	select {
	case t.changes <- struct{}{}:
	default:
	}
}

// notify calls Changed and reconciles the links with the plan, once for changes
// in quick succession.
func (t *Tracker) notify(ctx context.Context) {
	cost := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changes:
		}
		sleep(ctx, max(planDelay, planDelayFactor*cost))
		started := time.Now()
		if t.Changed != nil {
			t.Changed()
		}
		if ctx.Err() == nil {
			t.reconcile(ctx, t.Plan())
		}
		cost = min(time.Since(started), planDelay)
	}
}

// tick runs the periodic checks.
func (t *Tracker) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastTick) >= t.timing.pauseThreshold {
		level.Warn(t.Logger).Log("msg", "process was paused; restarting the suspicion timers", "time", now.Sub(t.lastTick))
		t.table.resume(now)
		for _, l := range t.links {
			l.lastReceived = now
		}
	}
	t.lastTick = now
	if t.table.self.conflicting != nil {
		level.Info(t.Logger).Log("msg", "superseding a conflicting record of this node", "sequence", t.table.self.conflicting.Sequence,
			"suspected", t.table.self.conflicting.suspected(), "address", t.table.self.conflicting.Address)
		t.metrics.refutations.Inc(1)
	}
	if t.table.tick(now) {
		t.signalChange()
	}
	t.flood(nil)
	sendHeartbeats := now.Sub(t.lastHeartbeat) >= t.timing.heartbeatInterval-t.timing.tickInterval/2
	if sendHeartbeats {
		t.lastHeartbeat = now
		t.metrics.members.Update(float64(len(t.table.live())))
		t.metrics.suspects.Update(float64(len(t.table.suspects())))
		t.metrics.unreachableZones.Update(float64(len(t.table.reports)))
	}
	for _, l := range t.links {
		t.checkLink(now, l, sendHeartbeats)
	}
}

// checkLink sends the heartbeat of an outbound link, and closes a link that
// timed out or is no longer planned.
func (t *Tracker) checkLink(now time.Time, l *link, sendHeartbeat bool) {
	if sendHeartbeat && l.outbound {
		l.sendHeartbeat = true
		l.wake()
	}
	if t.neighbours[l.peer] != nil || !l.outbound {
		l.unplannedSince = time.Time{}
	} else if l.unplannedSince.IsZero() {
		l.unplannedSince = now
	}
	if now.Sub(l.lastReceived) >= t.timing.linkTimeout || !l.unplannedSince.IsZero() && now.Sub(l.unplannedSince) >= t.timing.linkLinger {
		delete(t.links, l.peer)
		l.close()
	}
}

func (t *Tracker) linkTo(name string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[name]
}

// lastReceived returns when a frame was last received on a link. After a pause
// of this process it returns now, since the pause says nothing about the peer.
func (t *Tracker) lastReceived(l *link, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastTick) >= t.timing.pauseThreshold {
		return now
	}
	return l.lastReceived
}
