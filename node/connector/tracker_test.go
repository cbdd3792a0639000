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

// member runs a tracker over a connector. heartbeats counts the heartbeats that
// the tracker receives.
func member(t testing.TB, name string, seed netip.AddrPort, heartbeats *atomic.Int64, config *tls.Config, configure func(*connector.Connector)) (*tracker.Tracker, *connector.Connector) {
	t.Helper()
	members := &tracker.Tracker{VersionSeen: func(string, sycamorerun.Version) { heartbeats.Add(1) }}
	peers, _ := start(t, name, config, func(c *connector.Connector) {
		configure(c)
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

// TestFrozenSessionIsNoFailure guards against declaring a peer failed because its
// session went silent while new sessions work. It runs with the production
// intervals.
func TestFrozenSessionIsNoFailure(t *testing.T) {
	t.Parallel()
	var heartbeats [2]atomic.Int64
	// Each node announces the address of its proxy in its hello and its record.
	startBehindProxy := func(name string, seed netip.AddrPort, heartbeats *atomic.Int64) (*tracker.Tracker, *proxy) {
		p := newProxy(t)
		members, peers := member(t, name, seed, heartbeats, nil, func(c *connector.Connector) { c.Self.Address = p.address })
		p.to.Store(&peers.Listen)
		return members, p
	}
	a, proxyA := startBehindProxy("a", netip.AddrPort{}, &heartbeats[0])
	b, proxyB := startBehindProxy("b", proxyA.address, &heartbeats[1])
	bothLive := func() bool { return len(a.Live(time.Now())) == 2 && len(b.Live(time.Now())) == 2 }
	received := func(n int64) func() bool {
		before := [2]int64{heartbeats[0].Load(), heartbeats[1].Load()}
		return func() bool { return heartbeats[0].Load() >= before[0]+n && heartbeats[1].Load() >= before[1]+n }
	}
	eventually(t, "each node lists the other as live", bothLive)
	eventually(t, "both nodes receive heartbeats", received(1))
	proxyA.freeze()
	proxyB.freeze()
	receivedAgain := received(2)
	eventually(t, "both nodes receive heartbeats over a new session", func() bool {
		if !bothLive() {
			t.Fatal("live peer declared failed")
		}
		return receivedAgain()
	})
	for _, instance := range a.Live(time.Now()) {
		if instance.Sequence > 1 {
			t.Fatalf("%s had to refute a suspicion", instance.Name)
		}
	}
}

// BenchmarkIdleFleet reports the cost per node of a fleet without changes: bytes
// on the wire without TCP and IP headers, on average and for the busiest node, and
// the average CPU time, which includes everything else in the process.
func BenchmarkIdleFleet(b *testing.B) {
	const members, seconds = 60, 20
	var heartbeats atomic.Int64
	config := newAuthority(b).config(time.Hour)
	var trackers []*tracker.Tracker
	var scopes []tally.TestScope
	var seed netip.AddrPort
	for i := range members {
		scope := tally.NewTestScope("", nil)
		members, peers := member(b, fmt.Sprintf("node-%02d", i), seed, &heartbeats, config, func(c *connector.Connector) {
			c.Scope = scope
			c.Self.AvailabilityZone = fmt.Sprintf("zone-%d", i%4)
		})
		seed = peers.Self.Address
		trackers, scopes = append(trackers, members), append(scopes, scope)
	}
	eventually(b, "every node lists all members as live", func() bool {
		for _, t := range trackers {
			if len(t.Live(time.Now())) < members {
				return false
			}
		}
		return true
	})
	for b.Loop() {
		// The links of the initial contacts close after 10 s, and their sessions a
		// minute later.
		time.Sleep(80 * time.Second)
		before, cpu := wireBytes(scopes), cpuTime()
		time.Sleep(seconds * time.Second)
		cpu = cpuTime() - cpu
		sum, busiest := int64(0), int64(0)
		for i, bytes := range wireBytes(scopes) {
			sum += bytes - before[i]
			busiest = max(busiest, bytes-before[i])
		}
		b.ReportMetric(float64(sum)/members/seconds, "B/s-average")
		b.ReportMetric(float64(busiest)/seconds, "B/s-most")
		b.ReportMetric(100*cpu.Seconds()/members/seconds, "%core-average")
	}
}

// wireBytes returns the sum of the bytes received and sent by each node.
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

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
