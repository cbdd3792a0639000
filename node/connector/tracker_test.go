package connector_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"sycamorerun"
	"sycamorerun/node/connector"
	"sycamorerun/node/planner"
	"sycamorerun/node/tracker"
)

// member runs a tracker over a connector behind a proxy. heard counts the
// heartbeats that it received.
func member(t *testing.T, name string, seed netip.AddrPort, heard *atomic.Int64) (*tracker.Tracker, *proxy) {
	t.Helper()
	self := sycamorerun.Instance{Name: name, Incarnation: time.Unix(1, 0), AvailabilityZone: "north-1", Region: "north"}
	members := &tracker.Tracker{Seen: func(string, sycamorerun.Version) { heard.Add(1) }}
	var peers *connector.Connector
	p := newProxy(t)
	self.Address = p.address
	peers, _ = start(t, name, nil, func(c *connector.Connector) {
		c.Self.Address = p.address
		c.Handlers["tracker"] = func(ctx context.Context, from connector.Peer, stream net.Conn) {
			members.Serve(ctx, from.Name, stream)
		}
	})
	p.to.Store(&peers.Listen)
	members.Self = self
	members.Open = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return peers.Open(ctx, to, "tracker") }
	members.Plan = func() planner.Plan { return planner.New(name, members.Reachable(time.Now())) }
	members.Seeds = func(context.Context) ([]netip.AddrPort, error) { return []netip.AddrPort{seed}, nil }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = members.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return members, p
}

// Guards against a peer that is declared failed because its session went
// silent while new ones work. It runs with the periods of production.
func TestFrozenSessionIsNoFailure(t *testing.T) {
	t.Parallel()
	var heard [2]atomic.Int64
	a, pa := member(t, "a", netip.AddrPort{}, &heard[0])
	b, pb := member(t, "b", pa.address, &heard[1])
	both := func() bool { return len(a.Live(time.Now())) == 2 && len(b.Live(time.Now())) == 2 }
	beats := func(n int64) func() bool {
		from := [2]int64{heard[0].Load(), heard[1].Load()}
		return func() bool { return heard[0].Load() >= from[0]+n && heard[1].Load() >= from[1]+n }
	}
	eventually(t, "both know each other", both)
	eventually(t, "heartbeats", beats(1))
	pa.freeze()
	pb.freeze()
	again := beats(2)
	eventually(t, "heartbeats over a new session", func() bool {
		if !both() {
			t.Fatal("peer declared failed")
		}
		return again()
	})
	for _, instance := range a.Live(time.Now()) {
		if instance.Sequence > 1 {
			t.Fatalf("%s had to refute", instance.Name)
		}
	}
}
