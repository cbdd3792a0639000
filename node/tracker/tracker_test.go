package tracker

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/planner"
)

// within bounds each wait for something that other goroutines do.
const within = 20 * time.Second

// fabric connects the trackers of a test over pipes.
type fabric struct {
	t        *testing.T
	mu       sync.Mutex
	trackers map[netip.AddrPort]*Tracker
	cut      func(from, to *Tracker) bool
}

func newFabric(t *testing.T) *fabric {
	return &fabric{t: t, trackers: map[netip.AddrPort]*Tracker{}}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

func instance(i int, zone string) sycamorerun.Instance {
	return sycamorerun.Instance{
		Name: fmt.Sprintf("node-%04d", i), Incarnation: time.Unix(1000, 0), Address: address(i),
		AvailabilityZone: zone, Region: zone[:1],
	}
}

// start runs a tracker and returns it with its stop function.
func (f *fabric) start(self sycamorerun.Instance) (*Tracker, context.CancelFunc) {
	t := &Tracker{Self: self}
	t.Plan = func() planner.Plan { return planner.New(self.Name, t.Reachable(time.Now())) }
	t.Seeds = func(context.Context) ([]netip.AddrPort, error) { return []netip.AddrPort{address(0)}, nil }
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
	if peer == nil || f.cut != nil && f.cut(from, peer) {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go peer.Serve(context.Background(), from.Self.Name, far)
	return near, nil
}

// partition cuts the links for which cut holds; nil heals all.
func (f *fabric) partition(cut func(from, to *Tracker) bool) {
	f.mu.Lock()
	f.cut = cut
	f.mu.Unlock()
	if cut == nil {
		return
	}
	for _, t := range f.trackers {
		t.mu.Lock()
		for name, l := range t.links {
			for _, other := range f.trackers {
				if other.Self.Name == name && cut(t, other) {
					l.close()
				}
			}
		}
		t.mu.Unlock()
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", within, what)
		}
	}
}

func count(t *Tracker) int { return len(t.Live(time.Now())) }

// Guards against members that a joining node or the others don't learn, and
// against leaving nodes that stay in the list.
func TestJoinAndLeave(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFabric(t)
	const members = 30
	var trackers []*Tracker
	for i := range members {
		tracker, _ := f.start(instance(i, []string{"a1", "a2", "b1"}[i%3]))
		trackers = append(trackers, tracker)
	}
	eventually(t, "every node lists all", func() bool {
		for _, tracker := range trackers {
			if count(tracker) != members {
				return false
			}
		}
		return true
	})
	trackers[7].Announce(time.Now(), "quote-desk", sycamorerun.StateReady, 6)
	eventually(t, "the announcement reaches all", func() bool {
		for _, tracker := range trackers {
			if tracker.Live(time.Now())[7].State != sycamorerun.StateReady {
				return false
			}
		}
		return true
	})
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	trackers[7].Leave(ctx)
	is.NoErr(ctx.Err())
	eventually(t, "no other node lists the one that left", func() bool {
		for i, tracker := range trackers {
			if i != 7 && count(tracker) != members-1 {
				return false
			}
		}
		return true
	})
}
