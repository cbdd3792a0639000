package connector_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/node/connector"
	"sycamorerun/node/planner"
	"sycamorerun/node/tracker"
)

// member runs a tracker over a connector. heard counts the heartbeats that it
// received.
func member(t testing.TB, name string, seed netip.AddrPort, heard *atomic.Int64, config *tls.Config, change func(*connector.Connector)) (*tracker.Tracker, *connector.Connector) {
	t.Helper()
	members := &tracker.Tracker{VersionSeen: func(string, sycamorerun.Version) { heard.Add(1) }}
	peers, _ := start(t, name, config, func(c *connector.Connector) {
		change(c)
		c.Handlers["tracker"] = func(ctx context.Context, from connector.Peer, stream net.Conn) {
			members.Serve(ctx, from.Name, stream)
		}
	})
	members.Self = sycamorerun.Instance{
		Name: name, Incarnation: sycamorerun.NewIncarnation(uint32(peers.Self.Boot)), Address: peers.Self.Address,
		AvailabilityZone: peers.Self.AvailabilityZone, Region: peers.Self.Region,
	}
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
	return members, peers
}

// Guards against a peer that is declared failed because its session went
// silent while new ones work. It runs with the periods of production.
func TestFrozenSessionIsNoFailure(t *testing.T) {
	t.Parallel()
	var heard [2]atomic.Int64
	// A node's hello and record carry its proxy's address.
	behind := func(name string, seed netip.AddrPort, heard *atomic.Int64) (*tracker.Tracker, *proxy) {
		p := newProxy(t)
		members, peers := member(t, name, seed, heard, nil, func(c *connector.Connector) { c.Self.Address = p.address })
		p.to.Store(&peers.Listen)
		return members, p
	}
	a, pa := behind("a", netip.AddrPort{}, &heard[0])
	b, pb := behind("b", pa.address, &heard[1])
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

// BenchmarkIdleFleet reports what a fleet without changes costs each node:
// bytes on the wire without TCP and IP, of the average and of the busiest node,
// and processor time for everything in the process.
func BenchmarkIdleFleet(b *testing.B) {
	const members, seconds = 60, 20
	var heard atomic.Int64
	config := newAuthority(b).config(time.Hour)
	var trackers []*tracker.Tracker
	var scopes []tally.TestScope
	var seed netip.AddrPort
	for i := range members {
		scope := tally.NewTestScope("", nil)
		members, peers := member(b, fmt.Sprintf("node-%02d", i), seed, &heard, config, func(c *connector.Connector) {
			c.Scope = scope
			c.Self.AvailabilityZone = fmt.Sprintf("zone-%d", i%4)
		})
		seed = peers.Self.Address
		trackers, scopes = append(trackers, members), append(scopes, scope)
	}
	eventually(b, "every node lists all", func() bool {
		for _, t := range trackers {
			if len(t.Live(time.Now())) < members {
				return false
			}
		}
		return true
	})
	for b.Loop() {
		// The links of the first contacts close after 10 s, their sessions a
		// minute later.
		time.Sleep(80 * time.Second)
		before, used := wireBytes(scopes), processor()
		time.Sleep(seconds * time.Second)
		used = processor() - used
		sum, most := int64(0), int64(0)
		for i, bytes := range wireBytes(scopes) {
			sum += bytes - before[i]
			most = max(most, bytes-before[i])
		}
		b.ReportMetric(float64(sum)/members/seconds, "B/s-average")
		b.ReportMetric(float64(most)/seconds, "B/s-most")
		b.ReportMetric(100*used.Seconds()/members/seconds, "%core-average")
	}
}

// wireBytes returns the bytes in and out of each node.
func wireBytes(scopes []tally.TestScope) []int64 {
	list := make([]int64, len(scopes))
	for i, scope := range scopes {
		for _, counter := range scope.Snapshot().Counters() {
			if counter.Name() == "connector.wire_bytes" {
				list[i] += counter.Value()
			}
		}
	}
	return list
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
