package tracker

import "time"

// timing holds the periods and timeouts of the protocol. Tests shorten them.
type timing struct {
	// tickInterval is the interval of the periodic checks.
	tickInterval time.Duration
	// heartbeatInterval is the interval of heartbeats on each link.
	heartbeatInterval time.Duration
	// linkTimeout is the time without any received frame after which a link is
	// closed.
	linkTimeout time.Duration
	// suspicionTimeout is the time in which a suspect can refute the suspicion.
	suspicionTimeout time.Duration
	// pauseThreshold is the shortest gap between two ticks for which this
	// process counts as paused. Missing heartbeats during a pause say nothing about the
	// peers.
	pauseThreshold time.Duration
	// dialGrace is how long a node that expects to be dialled by a planned peer
	// waits before it dials the peer. The two nodes may have different plans
	// for a while.
	dialGrace time.Duration
	// maxRetryDelay bounds the random delay between attempts to open a link to
	// a peer. The dials themselves back off in the connector.
	maxRetryDelay time.Duration
	// handshakeTimeout bounds the opening of a stream, and then the wait for
	// its first frame. It is shorter than the connector's dial timeout, since
	// it adds to the time in which a host that drops all packets is detected.
	handshakeTimeout time.Duration
	// probeTimeout bounds the probes of further members, which follow a failed
	// dial.
	probeTimeout time.Duration
	// healInterval is the mean interval of attempts to reconnect to absent
	// nodes and unreachable zones.
	healInterval time.Duration
	// minDiscoveryInterval and maxDiscoveryInterval bound the intervals at
	// which the root of an availability zone reads the seeds.
	minDiscoveryInterval, maxDiscoveryInterval time.Duration
	// linkLinger is how long a link that is no longer planned stays open, so
	// that an exchange can finish.
	linkLinger time.Duration
}

var defaultTiming = timing{
	tickInterval:      250 * time.Millisecond,
	heartbeatInterval: time.Second,
	// Three missed heartbeats and a margin for the delivery.
	linkTimeout:          3*time.Second + 250*time.Millisecond,
	suspicionTimeout:     3 * time.Second,
	pauseThreshold:       2 * time.Second,
	dialGrace:            time.Second,
	maxRetryDelay:        time.Second,
	handshakeTimeout:     2 * time.Second,
	probeTimeout:         time.Second,
	healInterval:         5 * time.Second,
	minDiscoveryInterval: time.Second,
	// Four reads in the first 15 s join groups that formed at startup. After
	// that the root of each zone reads the seeds every 12 s on average.
	maxDiscoveryInterval: 16 * time.Second,
	linkLinger:           10 * time.Second,
}
