package connector_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"sycamorerun/node/connector"
)

// BenchmarkSessionMemory reports the memory per end of idle sessions with mutual
// TLS and one open stream each.
func BenchmarkSessionMemory(b *testing.B) {
	const sessions = 200
	config := newAuthority(b).config(time.Hour)
	hub, _ := start(b, "hub", config, nil)
	var peers []*connector.Connector
	for i := range sessions {
		peer, _ := start(b, fmt.Sprintf("peer-%03d", i), config, nil)
		peers = append(peers, peer)
	}
	for b.Loop() {
		before := memoryInUse()
		var streams []net.Conn
		for _, peer := range peers {
			stream, err := peer.Open(b.Context(), hub.Self.Address, "echo")
			noError(b, err)
			_, err = stream.Write([]byte("x"))
			noError(b, err)
			_, err = io.ReadFull(stream, make([]byte, 1))
			noError(b, err)
			streams = append(streams, stream)
		}
		b.ReportMetric(float64(memoryInUse()-before)/(2*sessions), "B/session-end")
		for i, stream := range streams {
			_ = stream.Close()
			peers[i].Close(hub.Self.Address)
		}
		eventually(b, "all sessions are closed", func() bool { return hub.Sessions() == 0 })
	}
}

// memoryInUse returns the size of the heap and the stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// BenchmarkWireBytes reports the bytes on the wire, without TCP and IP headers,
// for a message of the size of a heartbeat frame.
func BenchmarkWireBytes(b *testing.B) {
	const heartbeatBytes = 20
	config := newAuthority(b).config(time.Hour)
	scope := tally.NewTestScope("", nil)
	wireBytesOut := func() int64 {
		for name, found := range scope.Snapshot().Counters() {
			if name == "connector.wire_bytes+direction=out,scope=zone" {
				return found.Value()
			}
		}
		return 0
	}
	a, stop := start(b, "a", config, func(c *connector.Connector) { c.Scope = scope })
	peer, _ := start(b, "b", config, nil)
	stream, err := a.Open(b.Context(), peer.Self.Address, "echo")
	noError(b, err)
	n, message := 0, make([]byte, heartbeatBytes)
	for b.Loop() {
		n++
		_, err := stream.Write(message)
		noError(b, err)
		_, err = io.ReadFull(stream, message)
		noError(b, err)
	}
	_ = stream.Close()
	stop()
	b.ReportMetric(float64(wireBytesOut())/float64(n), "wire-B/message")
}
