package tracker

import "time"

// timing holds the periods of the protocol. Tests shorten them.
type timing struct {
	// step is the interval of the decisions that time drives.
	step time.Duration
	// heartbeat is the interval of heartbeats on each link.
	heartbeat time.Duration
	// silence is the time after which a link without any frame is given up.
	silence time.Duration
	// suspicion is the time that a suspect has to refute.
	suspicion time.Duration
	// pause is a gap between two steps from which on this process counts as
	// having been paused: what it didn't hear in that time says nothing about
	// its peers.
	pause time.Duration
	// grace is how long the end that is not meant to open a link waits for
	// the other one. Both ends may have different plans for a while.
	grace time.Duration
	// retry bounds the random pause between attempts to link with a peer. The
	// dials themselves back off in the connector.
	retry time.Duration
	// patience bounds the opening of a stream and the wait for its first
	// frame. It is shorter than the connector's dial limit, since it adds to
	// the time in which a host that drops all packets is found.
	patience time.Duration
	// probing bounds the probes of further members, which follow.
	probing time.Duration
	// healing is the mean interval of attempts to reach lost nodes.
	healing time.Duration
	// discovery and discoveryMost bound the intervals between reads of the
	// seeds by the first member of an availability zone.
	discovery, discoveryMost time.Duration
	// linger is how long a link that the plan doesn't want any more stays
	// open, so that an exchange can finish.
	linger time.Duration
}

var standard = timing{
	step:      250 * time.Millisecond,
	heartbeat: time.Second,
	// Three missed heartbeats and some slack for the delivery.
	silence:   3*time.Second + 250*time.Millisecond,
	suspicion: 3 * time.Second,
	pause:     2 * time.Second,
	grace:     time.Second,
	retry:     time.Second,
	patience:  2 * time.Second,
	probing:   time.Second,
	healing:   5 * time.Second,
	discovery: time.Second,
	// Four reads in the first 15 s join groups that formed at the start; then
	// each zone's first member reads the seeds every 12 s on average.
	discoveryMost: 16 * time.Second,
	linger:        10 * time.Second,
}
