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
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/encoder"
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
	// Seen is told the version that a peer's heartbeat carries.
	Seen func(peer string, version sycamorerun.Version)
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

type metrics struct {
	members, suspects, links, zones    tally.Gauge
	unreachable, exchanges, refutation tally.Counter
	invalid                            tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("tracker")
	return &metrics{
		members:     scope.Gauge("members"),
		suspects:    scope.Gauge("suspects"),
		links:       scope.Gauge("links"),
		zones:       scope.Gauge("unreachable_zones"),
		unreachable: scope.Counter("unreachable_peers"),
		exchanges:   scope.Counter("exchanges"),
		refutation:  scope.Counter("refutations"),
		invalid:     scope.Counter("invalid_frames"),
	}
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

// Serve handles a stream that a peer opened.
func (t *Tracker) Serve(ctx context.Context, from string, conn net.Conn) {
	t.setup()
	l := newLink(time.Now(), conn, false)
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	if err := t.greet(l, from); err != nil {
		level.Debug(t.Logger).Log("msg", "inbound link rejected", "peer", from, "err", err)
		_ = conn.Close()
		return
	}
	t.run(l)
}

// greet exchanges the first frames and adds the link. The opening end speaks
// first.
func (t *Tracker) greet(l *link, expected string) error {
	_ = l.conn.SetReadDeadline(time.Now().Add(t.timing.patience))
	defer l.conn.SetReadDeadline(time.Time{})
	if l.opened {
		if err := l.write(t.greeting(l)); err != nil {
			return err
		}
	}
	frame, err := encoder.Read[Frame](l.conn, frameBytes)
	if err != nil {
		return err
	}
	name := frame.GetFrom()
	switch {
	case name == "" || len(name) > nameBytes || name == t.Self.Name:
		return errors.Errorf("greeting from %.64q", name)
	case expected != "" && name != expected:
		return errors.Errorf("greeting from %s, want %s", name, expected)
	}
	if !l.opened {
		if err := l.write(t.greeting(l)); err != nil {
			return err
		}
	}
	return t.add(l, frame)
}

func (t *Tracker) greeting(l *link) []*Frame {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.beat = true
	l.mark([]string{t.Self.Name})
	frames := t.table.compose(time.Now(), l, t.version())
	frames[0].From = t.Self.Name
	return frames
}

func (t *Tracker) version() uint64 {
	if t.Version == nil {
		return 0
	}
	return uint64(t.Version())
}

// add registers a link after its first frame.
func (t *Tracker) add(l *link, frame *Frame) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		return errNotRunning
	}
	name := frame.GetFrom()
	old := t.links[name]
	switch {
	case old != nil && preferOld(old, l, t.Self.Name, t.timing.heartbeat):
		return errors.Errorf("link with %s already open", name)
	case old != nil:
		old.close()
	case !l.opened && len(t.links) >= linksMost:
		return errors.Errorf("%d links open", len(t.links))
	}
	err := t.table.take(time.Now(), l, frame)
	l.peer = name
	if err != nil {
		return err
	}
	t.links[name] = l
	t.reached(name)
	t.metrics.links.Update(float64(len(t.links)))
	t.spread(l)
	l.wake()
	return nil
}

// reached takes back the claim on the availability zone of a peer, and on the
// own one, when a link proves it wrong.
func (t *Tracker) reached(peer string) {
	now := time.Now()
	if t.table.isolated() {
		t.table.withdraw(now, t.Self.AvailabilityZone)
	}
	if r := t.table.records[peer]; r != nil && t.table.withdraw(now, r.AvailabilityZone) {
		level.Info(t.Logger).Log("msg", "availability zone reachable again", "zone", r.AvailabilityZone, "peer", peer)
	}
	t.spread(nil)
}

// run serves a link until it breaks.
func (t *Tracker) run(l *link) {
	level.Debug(t.Logger).Log("msg", "link up", "peer", l.peer, "opened", l.opened)
	go t.send(l)
	err := t.receive(l)
	t.mu.Lock()
	if t.links[l.peer] == l {
		delete(t.links, l.peer)
	}
	t.metrics.links.Update(float64(len(t.links)))
	t.mu.Unlock()
	l.close()
	level.Debug(t.Logger).Log("msg", "link down", "peer", l.peer, "err", err)
}

func (t *Tracker) receive(l *link) error {
	for {
		frame, err := encoder.Read[Frame](l.conn, frameBytes)
		if err != nil {
			return err
		}
		t.mu.Lock()
		err = t.table.take(time.Now(), l, frame)
		t.spread(l)
		l.wake()
		t.mu.Unlock()
		if err != nil {
			t.metrics.invalid.Inc(1)
			return err
		}
		if beat := frame.GetHeartbeat(); beat != nil && t.Seen != nil {
			t.Seen(l.peer, sycamorerun.Version(beat.GetVersion()))
		}
	}
}

// send writes what waits on a link. Records wait for others for a moment.
func (t *Tracker) send(l *link) {
	for {
		select {
		case <-l.done:
			return
		case <-l.signal:
		}
		frames, wait := t.collect(l, false)
		if wait {
			select {
			case <-l.done:
				return
			case <-time.After(batch):
			}
			frames, _ = t.collect(l, true)
		}
		err := l.write(frames)
		t.mu.Lock()
		l.writing = false
		t.mu.Unlock()
		if err != nil {
			l.close()
			return
		}
	}
}

// collect returns the frames to send now. wait says that there are only
// records, which may wait for more.
func (t *Tracker) collect(l *link, waited bool) (frames []*Frame, wait bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case l.urgent():
	case len(l.dirty) == 0:
		return nil, false
	case !waited:
		return nil, true
	}
	l.writing = true
	if l.compare {
		t.metrics.exchanges.Inc(1)
	}
	return t.table.compose(time.Now(), l, t.version()), false
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

// tend sends the heartbeat of a link and closes it when it is silent or not
// wanted.
func (t *Tracker) tend(now time.Time, l *link, beat bool) {
	if beat {
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
