package connector

import (
	"cmp"
	"time"
)

// Limits bounds what a connector accepts and how long it waits. Zero fields
// take the default.
type Limits struct {
	// Dial bounds a dial with its handshake and hello exchange, and the wait
	// for the head of an inbound stream.
	Dial time.Duration
	// Ping is the silence after which a session is pinged.
	Ping time.Duration
	// Await is the silence after which a session on which a call waits is pinged,
	// Answer the time after that until the session is replaced if the peer is
	// heard on a new one. Answer covers a round trip between regions of up to
	// 100 ms and a peer that does not get its processor for half a second.
	Await, Answer time.Duration
	// Stall is the silence after which a session is closed.
	Stall time.Duration
	// Linger is how long a session that another one replaced stays open after
	// its last stream.
	Linger time.Duration
	// Idle is how long a session stays open without streams.
	Idle time.Duration
	// Drain bounds the wait for in-flight streams at shutdown.
	Drain time.Duration
	// Sessions bounds the inbound sessions, Handshakes those of them that
	// have not completed the hello exchange.
	Sessions, Handshakes int
	// Streams bounds the inbound streams of one session that are handled
	// concurrently.
	Streams int
}

func (l Limits) withDefaults() Limits {
	return Limits{
		Dial:   cmp.Or(l.Dial, 3*time.Second),
		Ping:   cmp.Or(l.Ping, time.Second),
		Await:  cmp.Or(l.Await, 300*time.Millisecond),
		Answer: cmp.Or(l.Answer, 700*time.Millisecond),
		Stall:  cmp.Or(l.Stall, 3*time.Second),
		Linger: cmp.Or(l.Linger, 5*time.Second),
		Idle:   cmp.Or(l.Idle, time.Minute),
		Drain:  cmp.Or(l.Drain, 30*time.Second),
		// Callers on any node may open streams to an upstream's node, so the
		// sessions are far more than the links of the plan.
		Sessions:   cmp.Or(l.Sessions, 2048),
		Handshakes: cmp.Or(l.Handshakes, 256),
		Streams:    cmp.Or(l.Streams, 4096),
	}
}

// Frame limits. A hello carries four names, a head one kind.
const (
	helloBytes = 2048
	headBytes  = 64
)
