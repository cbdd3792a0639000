package tracker

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/encoder"
	"sycamorerun/node/planner"
)

// waitTimeout bounds each wait for a condition that other goroutines establish.
const waitTimeout = 30 * time.Second

// fabric connects the trackers of a test over pipes.
type fabric struct {
	t        *testing.T
	mu       sync.Mutex
	trackers map[netip.AddrPort]*Tracker
	blocked  func(from, to *Tracker) bool
	// seeds returns the seed addresses of a node. If nil, the first node is the
	// seed.
	seeds func(self sycamorerun.Instance) []netip.AddrPort
}

// dividedBy returns the periods divided by n.
func (t timing) dividedBy(n time.Duration) timing {
	return timing{
		tickInterval: t.tickInterval / n, heartbeatInterval: t.heartbeatInterval / n, linkTimeout: t.linkTimeout / n, suspicionTimeout: t.suspicionTimeout / n,
		pauseThreshold: t.pauseThreshold / n, dialGrace: t.dialGrace / n, maxRetryDelay: t.maxRetryDelay / n, handshakeTimeout: t.handshakeTimeout / n,
		probeTimeout: t.probeTimeout / n, healInterval: t.healInterval / n, linkLinger: t.linkLinger / n,
		minDiscoveryInterval: t.minDiscoveryInterval / n, maxDiscoveryInterval: t.maxDiscoveryInterval / n,
	}
}

func newFabric(t *testing.T) *fabric {
	return &fabric{t: t, trackers: map[netip.AddrPort]*Tracker{}}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

// incarnation returns the incarnation with the given count and boot id.
func incarnation(count int64, boot uint32) sycamorerun.Incarnation {
	return sycamorerun.NewIncarnation(boot).AdvancePast(sycamorerun.Incarnation(count-1) << 32)
}

func instance(i int, zone string) sycamorerun.Instance {
	return sycamorerun.Instance{
		Name: fmt.Sprintf("node-%04d", i), Incarnation: incarnation(1000, 7), Address: address(i),
		AvailabilityZone: zone, Region: zone[:1],
	}
}

// start runs a tracker and returns it with its stop function.
func (f *fabric) start(self sycamorerun.Instance) (*Tracker, context.CancelFunc) {
	t := &Tracker{Self: self, timing: defaultTiming.dividedBy(3)}
	t.Plan = func() planner.Plan { return planner.New(self.Name, t.Reachable(time.Now())) }
	t.Seeds = func(context.Context) ([]netip.AddrPort, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.seeds != nil {
			return f.seeds(self), nil
		}
		return []netip.AddrPort{address(0)}, nil
	}
	t.Open = func(_ context.Context, to netip.AddrPort) (net.Conn, error) { return f.open(t, to) }
	f.mu.Lock()
	f.trackers[self.Address] = t
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = t.Run(ctx)
	}()
	stop := func() {
		f.mu.Lock()
		delete(f.trackers, self.Address)
		f.mu.Unlock()
		cancel()
		<-done
	}
	f.t.Cleanup(stop)
	return t, stop
}

func (f *fabric) open(from *Tracker, to netip.AddrPort) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	peer := f.trackers[to]
	if peer == nil || f.blocked != nil && f.blocked(from, peer) {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go peer.Serve(context.Background(), from.Self.Name, pipe{far, f, peer, from})
	return pipe{near, f, from, peer}, nil
}

// pipe is one end of a stream. Writes are dropped while its ends are
// partitioned.
type pipe struct {
	net.Conn
	fabric   *fabric
	from, to *Tracker
}

func (p pipe) Write(data []byte) (int, error) {
	p.fabric.mu.Lock()
	dropped := p.fabric.blocked != nil && p.fabric.blocked(p.from, p.to)
	p.fabric.mu.Unlock()
	if dropped {
		return len(data), nil
	}
	return p.Conn.Write(data)
}

// partition drops what is sent from one tracker to another if blocked is true
// for them, without an error at either end. A nil function heals the partition.
func (f *fabric) partition(blocked func(from, to *Tracker) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		}
	}
}

func count(t *Tracker) int { return len(t.Live(time.Now())) }

// startFleet starts n nodes, distributed round robin over some availability
// zones, and waits until each of them lists all.
func (f *fabric) startFleet(n int, zones ...string) (trackers []*Tracker, stops []context.CancelFunc) {
	f.t.Helper()
	for i := range n {
		tracker, stop := f.start(instance(i, zones[i%len(zones)]))
		trackers, stops = append(trackers, tracker), append(stops, stop)
	}
	f.waitAll("each node lists all nodes", trackers, func(t *Tracker) bool { return count(t) == n })
	return trackers, stops
}

// waitAll waits until a condition holds for all given trackers.
func (f *fabric) waitAll(what string, trackers []*Tracker, condition func(*Tracker) bool) {
	f.t.Helper()
	eventually(f.t, what, func() bool {
		for _, tracker := range trackers {
			if !condition(tracker) {
				return false
			}
		}
		return true
	})
}

// find returns a node's record in a tracker's list, or the zero value if there
// is none.
func find(t *Tracker, name string) sycamorerun.Instance {
	for _, member := range t.Live(time.Now()) {
		if member.Name == name {
			return member
		}
	}
	return sycamorerun.Instance{}
}

// TestJoinAndLeave guards against members that a joining node or the other
// nodes don't learn, and against nodes that stay in the list after leaving.
func TestJoinAndLeave(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFabric(t)
	trackers, _ := f.startFleet(18, "a1", "a2", "b1")
	leaver := trackers[7]
	leaver.Announce(time.Now(), "quote-desk", sycamorerun.StateReady, 6, "")
	f.waitAll("each node has the announced state", trackers, func(t *Tracker) bool {
		return find(t, leaver.Self.Name).State == sycamorerun.StateReady
	})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	leaver.Leave(ctx)
	is.NoErr(ctx.Err())
	f.waitAll("each node removes the left node from its list", trackers, func(t *Tracker) bool {
		return t == leaver || find(t, leaver.Self.Name) == sycamorerun.Instance{}
	})
}

// TestCrashAndRestart guards against crashed nodes that stay in the list, and
// restarted nodes that are missing from it, also after a restart of most of the
// fleet.
func TestCrashAndRestart(t *testing.T) {
	for name, c := range map[string]struct {
		zones        []string
		nodes, first int
		crashed      int
		noticed      bool
	}{
		"one, after its failure": {[]string{"a1", "a2"}, 14, 11, 1, true},
		"most of them, at once":  {[]string{"a1", "a2", "b1"}, 18, 3, 15, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFabric(t)
			trackers, stops := f.startFleet(c.nodes, c.zones...)
			for _, stop := range stops[c.first : c.first+c.crashed] {
				stop()
			}
			if c.noticed {
				others := slices.Delete(slices.Clone(trackers), c.first, c.first+c.crashed)
				f.waitAll("each node removes only the crashed node from its list", others, func(t *Tracker) bool { return count(t) == len(others) })
			}
			for i := c.first; i < c.first+c.crashed; i++ {
				self := trackers[i].Self
				self.Incarnation = sycamorerun.NewIncarnation(self.Incarnation.Boot() - 1)
				trackers[i], _ = f.start(self)
			}
			f.waitAll("each node lists the new runs", trackers, func(t *Tracker) bool {
				for _, other := range trackers {
					if find(t, other.Self.Name).Incarnation.Boot() != other.Self.Incarnation.Boot() {
						return false
					}
				}
				return true
			})
		})
	}
}

// TestGroupsMerge guards against nodes that start at the same time, find only
// some of each other and stay in two groups, since a node with a link contacts
// no seeds. Here the seeds of both groups become known only after the groups
// have formed.
func TestGroupsMerge(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	const nodes = 6
	separated := true
	f.seeds = func(self sycamorerun.Instance) []netip.AddrPort {
		group := int(self.Address.Addr().As4()[3]) % 2
		var seeds []netip.AddrPort
		for i := range nodes {
			if !separated || i%2 == group {
				seeds = append(seeds, address(i))
			}
		}
		return seeds
	}
	var trackers []*Tracker
	for i := range nodes {
		tracker, _ := f.start(instance(i, []string{"a1", "b1"}[i%2]))
		trackers = append(trackers, tracker)
	}
	f.waitAll("each node lists its own group", trackers, func(t *Tracker) bool { return count(t) == nodes/2 })
	f.mu.Lock()
	separated = false
	f.mu.Unlock()
	f.waitAll("each node lists both groups", trackers, func(t *Tracker) bool { return count(t) == nodes })
}

// TestPartitionHeals guards against members of a partitioned availability zone
// that stay in the plan, or that have to refute when the partition heals.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFabric(t)
	trackers, _ := f.startFleet(18, "a1", "a2", "a3")
	f.partition(func(from, to *Tracker) bool {
		return (from.Self.AvailabilityZone == "a3") != (to.Self.AvailabilityZone == "a3")
	})
	f.waitAll("each node plans without the other side of the partition", trackers, func(t *Tracker) bool {
		want := 12
		if t.Self.AvailabilityZone == "a3" {
			want = 6
		}
		return len(t.Reachable(time.Now())) == want && count(t) == want
	})
	f.partition(nil)
	f.waitAll("each node plans with both sides again", trackers, func(t *Tracker) bool {
		return len(t.Reachable(time.Now())) == len(trackers) && len(t.Suspects(time.Now())) == 0
	})
	changed := 0
	for _, member := range trackers[0].Live(time.Now()) {
		if member.Sequence > 1 {
			changed++
		}
	}
	// Only the nodes with links to the zones report them and withdraw the
	// reports.
	is.True(changed < len(trackers)/2)
}

// TestLostNodeReturns guards against a node that was paused or partitioned,
// counts as failed, and stays failed when it is reachable again.
func TestLostNodeReturns(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	trackers, _ := f.startFleet(12, "a1")
	lost := trackers[5]
	others := slices.Delete(slices.Clone(trackers), 5, 6)
	f.partition(func(from, to *Tracker) bool { return from == lost || to == lost })
	f.waitAll("the other nodes remove the failed node from their lists", others, func(t *Tracker) bool { return count(t) == len(others) })
	eventually(t, "the failed node reaches only itself", func() bool { return len(lost.Reachable(time.Now())) == 1 })
	f.partition(nil)
	f.waitAll("each node lists the failed node again", trackers, func(t *Tracker) bool {
		return len(t.Reachable(time.Now())) == len(trackers) && find(t, lost.Self.Name).Sequence > 1
	})
}

// TestPlannedRestartWithoutSeeds guards against a node that was stopped as planned,
// starts again while nobody can tell it the address of a peer, and is looked for by
// none of its old peers.
func TestPlannedRestartWithoutSeeds(t *testing.T) {
	t.Parallel()
	f := newFabric(t)
	trackers, stops := f.startFleet(12, "a1", "a2")
	const restarted = 5
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	trackers[restarted].Leave(ctx)
	stops[restarted]()
	others := slices.Delete(slices.Clone(trackers), restarted, restarted+1)
	f.waitAll("the others remove the node that left", others, func(t *Tracker) bool { return count(t) == len(others) })
	f.mu.Lock()
	f.seeds = func(sycamorerun.Instance) []netip.AddrPort { return nil }
	f.mu.Unlock()
	self := trackers[restarted].Self
	self.Incarnation = sycamorerun.NewIncarnation(self.Incarnation.Boot() - 1)
	trackers[restarted], _ = f.start(self)
	f.waitAll("each node lists the new run", trackers, func(t *Tracker) bool {
		return count(t) == len(trackers) && find(t, self.Name).Incarnation.Boot() == self.Incarnation.Boot()
	})
}

// TestAcceptedLinkAnswers guards against heartbeats that each cause a separate
// TCP acknowledgement: the accepting node sends its heartbeats only as
// immediate replies.
func TestAcceptedLinkAnswers(t *testing.T) {
	is := is.New(t)
	f := newFabric(t)
	tracker, _ := f.start(instance(0, "a1"))
	eventually(t, "the tracker runs", func() bool {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		return tracker.running
	})
	near, far := net.Pipe()
	defer near.Close()
	go tracker.Serve(t.Context(), "", far)
	send := func(frame *Frame) {
		_, err := encoder.Write(near, frame)
		is.NoErr(err)
	}
	receive := func(within time.Duration) *Frame {
		is.NoErr(near.SetReadDeadline(time.Now().Add(within)))
		frame, _ := encoder.Read[Frame](near, maxFrameBytes)
		return frame
	}
	peer := instance(1, "a1")
	peer.State = sycamorerun.StateNone
	own := encode(time.Now(), &record{Instance: peer})
	send(&Frame{From: "node-0001", Heartbeat: &Heartbeat{}, Records: []*Record{own}})
	is.Equal(receive(waitTimeout).GetFrom(), "node-0000")
	interval := tracker.timing.heartbeatInterval
	for deadline := time.Now().Add(2 * interval); time.Now().Before(deadline); {
		is.Equal(receive(interval).GetHeartbeat(), nil)
	}
	sent := time.Now()
	send(&Frame{Heartbeat: &Heartbeat{}})
	for receive(waitTimeout).GetHeartbeat() == nil {
		is.True(time.Since(sent) < waitTimeout)
	}
	is.True(time.Since(sent) < interval/2)
}
