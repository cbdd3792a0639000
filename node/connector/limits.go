package connector

import (
	"cmp"
	"time"
)

// Limits holds the limits and timeouts of a connector. Zero fields take their
// defaults.
type Limits struct {
	// Dial is the timeout for a dial including its handshake and hello exchange,
	// and for the head of an inbound stream.
	Dial time.Duration
	// Ping is the silence after which a session is pinged.
	Ping time.Duration
	// CallPing is the silence after which a session with a waiting call is pinged.
	// PongTimeout is the time after that ping until a replacement is dialled; the
	// session is closed if data from the peer then arrives on another session only.
	// PongTimeout covers a round trip between regions of up to 100 ms and a peer
	// that gets no CPU time for half a second.
	CallPing, PongTimeout time.Duration
	// Stall is the silence after which a session is closed.
	Stall time.Duration
	// Linger is how long a superseded session stays open after its last stream.
	Linger time.Duration
	// Idle is how long a session stays open without streams.
	Idle time.Duration
	// Drain is the timeout for streams in flight at shutdown.
	Drain time.Duration
	// Sessions is the maximum number of inbound sessions, Handshakes the maximum
	// number of them that have not completed the hello exchange.
	Sessions, Handshakes int
	// Streams is the maximum number of inbound streams of one session that are
	// handled concurrently.
	Streams int
}

func (l Limits) withDefaults() Limits {
	return Limits{
		Dial:        cmp.Or(l.Dial, 3*time.Second),
		Ping:        cmp.Or(l.Ping, time.Second),
		CallPing:    cmp.Or(l.CallPing, 300*time.Millisecond),
		PongTimeout: cmp.Or(l.PongTimeout, 700*time.Millisecond),
		Stall:       cmp.Or(l.Stall, 3*time.Second),
		Linger:      cmp.Or(l.Linger, 5*time.Second),
		Idle:        cmp.Or(l.Idle, time.Minute),
		Drain:       cmp.Or(l.Drain, 30*time.Second),
		// Callers on any node may open streams to an upstream's node, so there are
		// far more sessions than planned links.
		Sessions:   cmp.Or(l.Sessions, 2048),
		Handshakes: cmp.Or(l.Handshakes, 256),
		Streams:    cmp.Or(l.Streams, 4096),
	}
}

// Maximum frame sizes. A hello carries four names, a head one kind.
const (
	maxHelloBytes = 2048
	maxHeadBytes  = 64
)
