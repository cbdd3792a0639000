package connector

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// probeSteps are the checks without a byte after a ping until the session is
	// doubted. Checks are counted and not the time between two of them: a process
	// that was paused has to read what arrived before it judges.
	probeSteps = 7
	// provenSteps are the further checks without a byte after the peer was heard
	// on another session. An answer on this one was sent before and is read within
	// them.
	provenSteps = 2
)

// probe follows a session on which a call waits.
type probe struct {
	pinged time.Time
	// doubted is the time since which a new session is tried.
	doubted time.Time
	// steps counts the checks since the ping, proven those since the peer was
	// heard on another session.
	steps, proven int
}

// evidence is what is known of a session at a check.
type evidence struct {
	// waiting says that a call waits.
	waiting bool
	silence time.Duration
	// acknowledged says that the peer's system still takes what was sent, so that
	// a ping may be on its way behind it.
	acknowledged bool
	// elsewhere is the time since which the peer is silent on all other sessions.
	elsewhere time.Duration
}

// move is what a check leads to.
type move int

const (
	rest move = iota
	check
	pingNow
	openAnother
	closeSilent
)

// follow decides about a session at a check and returns the time until the next
// one. A session is closed only if the peer is heard on a newer one: a peer that
// is paused answers on neither.
func (l Limits) follow(now time.Time, p probe, e evidence) (probe, move, time.Duration) {
	step := l.Answer / probeSteps
	if !e.waiting {
		return probe{}, rest, 0
	}
	if p.pinged.IsZero() || e.silence < now.Sub(p.pinged) {
		if left := l.Await - e.silence; left > 0 {
			return probe{}, check, left
		}
		return probe{pinged: now}, pingNow, step
	}
	if e.acknowledged {
		return p, check, step
	}
	if p.steps++; p.steps < probeSteps {
		return p, check, step
	}
	if p.doubted.IsZero() {
		p.doubted = now
		return p, openAnother, step
	}
	if e.elsewhere >= now.Sub(p.doubted) {
		return p, check, step
	}
	if p.proven++; p.proven <= provenSteps {
		return p, check, step
	}
	return p, closeSilent, 0
}

// prober checks a session while calls wait on it. A session without waiting
// calls costs nothing.
type prober struct {
	waiting atomic.Int64
	mutex   sync.Mutex
	armed   bool
	probe   probe
}

// await counts a call that waits, or one that no longer does.
func (c *Connector) await(s *session, waits bool) {
	if !waits {
		s.prober.waiting.Add(-1)
		return
	}
	if s.prober.waiting.Add(1) > 1 {
		return
	}
	s.prober.mutex.Lock()
	defer s.prober.mutex.Unlock()
	if !s.prober.armed {
		s.prober.armed = true
		time.AfterFunc(c.limits.Await, func() { c.check(s) })
	}
}

// check takes the next step for a session on which a call waits.
func (c *Connector) check(s *session) {
	now := time.Now()
	found := evidence{silence: s.wire.silence(now), elsewhere: c.silenceElsewhere(now, s)}
	s.prober.mutex.Lock()
	defer s.prober.mutex.Unlock()
	found.waiting = s.prober.waiting.Load() > 0 && s.ctx.Err() == nil
	found.acknowledged = s.wire.segments.acknowledges(c.limits.Await)
	var next move
	var wait time.Duration
	s.prober.probe, next, wait = c.limits.follow(now, s.prober.probe, found)
	switch next {
	case rest:
		s.prober.armed = false
		return
	case pingNow:
		c.ping(s)
	case openAnother:
		go c.openAnother(s.peer.Address)
	case closeSilent:
		go c.closeSession(s, "silent")
		return
	case check:
	}
	time.AfterFunc(wait, func() { c.check(s) })
}

// silenceElsewhere returns the time since which nothing arrived on the other
// sessions to the same run of the peer.
func (c *Connector) silenceElsewhere(now time.Time, s *session) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := now.Sub(s.opened)
	for _, other := range c.sessions[s.peer.Address] {
		if other != s && other.peer.sameRun(s.peer) {
			least = min(least, other.wire.silence(now))
		}
	}
	return least
}

// openAnother opens a session beside one that is silent.
func (c *Connector) openAnother(to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(c.streams, c.limits.Dial)
	defer cancel()
	// A peer that can't be reached keeps its session until the sweep closes it.
	_ = c.dial(ctx, to)
}
