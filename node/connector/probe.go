package connector

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// suspectChecks is the number of checks without received data after a ping
	// until the session is suspected. Checks are counted instead of elapsed time,
	// so that a process resumed after a pause reads pending data first.
	suspectChecks = 7
	// confirmChecks is the number of further checks without received data after
	// data from the peer arrived on another session. A response that the peer sent
	// earlier on this session is read within them.
	confirmChecks = 2
)

// probeState is the state of probing a session with waiting calls.
type probeState struct {
	pingedAt time.Time
	// suspectedAt is the time when the replacement was dialled.
	suspectedAt time.Time
	// silentChecks counts the checks without received data since the ping,
	// confirmations those since data from the peer arrived on another session.
	silentChecks, confirmations int
}

// observation is what a check finds out about a session.
type observation struct {
	// waiting is set if a call on the session waits for the peer.
	waiting bool
	silence time.Duration
	// acknowledging is set if the peer's TCP stack still acknowledges sent data, so
	// that the ping may be queued behind it.
	acknowledging bool
	// silenceOnOthers is the time since data last arrived on any other session to
	// the peer.
	silenceOnOthers time.Duration
}

// probeAction is the result of a check.
type probeAction int

const (
	stopProbing probeAction = iota
	checkLater
	sendPing
	dialReplacement
	closeSilent
)

// nextProbe returns the new state, the action and the time until the next check.
// It closes a session only if data from the peer arrives on another one, since a
// paused peer responds on neither.
func (l Limits) nextProbe(now time.Time, p probeState, o observation) (probeState, probeAction, time.Duration) {
	interval := l.PongTimeout / suspectChecks
	if !o.waiting {
		return probeState{}, stopProbing, 0
	}
	if p.pingedAt.IsZero() || o.silence < now.Sub(p.pingedAt) {
		if wait := l.CallPing - o.silence; wait > 0 {
			return probeState{}, checkLater, wait
		}
		return probeState{pingedAt: now}, sendPing, interval
	}
	if o.acknowledging {
		return p, checkLater, interval
	}
	if p.silentChecks++; p.silentChecks < suspectChecks {
		return p, checkLater, interval
	}
	if p.suspectedAt.IsZero() {
		p.suspectedAt = now
		return p, dialReplacement, interval
	}
	if o.silenceOnOthers >= now.Sub(p.suspectedAt) {
		return p, checkLater, interval
	}
	if p.confirmations++; p.confirmations <= confirmChecks {
		return p, checkLater, interval
	}
	return p, closeSilent, 0
}

// prober checks a session while calls wait on it. It schedules no timer for a
// session without waiting calls.
type prober struct {
	waiting   atomic.Int64
	mutex     sync.Mutex
	scheduled bool
	state     probeState
}

// setAwaiting adds or removes a waiting call. The first one starts the checks.
func (c *Connector) setAwaiting(s *session, waiting bool) {
	if !waiting {
		s.prober.waiting.Add(-1)
		return
	}
	if s.prober.waiting.Add(1) > 1 {
		return
	}
	s.prober.mutex.Lock()
	defer s.prober.mutex.Unlock()
	if !s.prober.scheduled {
		s.prober.scheduled = true
		time.AfterFunc(c.limits.CallPing, func() { c.probeSession(s) })
	}
}

// probeSession checks a session with waiting calls and schedules the next check.
func (c *Connector) probeSession(s *session) {
	now := time.Now()
	observed := observation{silence: s.conn.silence(now), silenceOnOthers: c.silenceOnOthers(now, s)}
	s.prober.mutex.Lock()
	defer s.prober.mutex.Unlock()
	observed.waiting = s.prober.waiting.Load() > 0 && s.ctx.Err() == nil
	observed.acknowledging = s.conn.segments.acknowledging(c.limits.CallPing)
	var next probeAction
	var wait time.Duration
	s.prober.state, next, wait = c.limits.nextProbe(now, s.prober.state, observed)
	switch next {
	case stopProbing:
		s.prober.scheduled = false
		return
	case sendPing:
		c.ping(s)
	case dialReplacement:
		go c.dialReplacement(s.peer.Address)
	case closeSilent:
		go c.closeSession(s, "silent")
		return
	case checkLater:
	}
	time.AfterFunc(wait, func() { c.probeSession(s) })
}

// silenceOnOthers returns the time since data last arrived on any other session
// to the same run of the peer, at most the age of s.
func (c *Connector) silenceOnOthers(now time.Time, s *session) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	silence := now.Sub(s.opened)
	for _, other := range c.sessions[s.peer.Address] {
		if other != s && other.peer.sameRun(s.peer) {
			silence = min(silence, other.conn.silence(now))
		}
	}
	return silence
}

// dialReplacement opens a second session to a peer whose session is silent.
func (c *Connector) dialReplacement(to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(c.streamCtx, c.limits.Dial)
	defer cancel()
	// If the dial fails, the silent session stays open until the sweep closes it.
	_ = c.dial(ctx, to)
}
