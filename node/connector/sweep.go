package connector

import (
	"context"
	"time"
)

// action is what the sweep does to a session.
type action int

const (
	keep action = iota
	ping
	closeStalled
	// stopAccepting sends GoAway. The session is closed at least one sweep later,
	// so that streams opened by the peer in the meantime are served.
	stopAccepting
	closeIdle
)

// condition is the state of a session at a sweep.
type condition struct {
	silence time.Duration
	// idle is the time without open streams.
	idle       time.Duration
	streams    int
	superseded bool
	// sinceGoAway is the time since this end stopped accepting streams, and zero
	// before that.
	sinceGoAway time.Duration
}

// nextAction decides what the sweep does to a session.
func (l Limits) nextAction(c condition) action {
	switch {
	case c.silence >= l.Stall:
		return closeStalled
	case c.sinceGoAway >= l.Ping && c.streams == 0:
		return closeIdle
	case c.sinceGoAway == 0 && c.streams == 0 && (c.idle >= l.Idle || c.superseded && c.idle >= l.Linger):
		return stopAccepting
	case c.silence >= l.Ping:
		return ping
	}
	return keep
}

// sweep checks all sessions periodically until ctx is canceled. One timer for all
// sessions costs less than a timer and a goroutine per session.
func (c *Connector) sweep(ctx context.Context) {
	ticker := time.NewTicker(c.limits.Ping / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			sessions := c.all()
			c.metrics.sessions.Update(float64(len(sessions)))
			for _, s := range sessions {
				c.metrics.flush(s)
				c.sweepSession(now, s)
			}
			c.pruneTargets(now)
		}
	}
}

func (c *Connector) sweepSession(now time.Time, s *session) {
	switch c.limits.nextAction(c.condition(now, s)) {
	case closeStalled:
		// Closing may block on a write in progress, and must not delay the sweep of
		// other sessions.
		go c.closeSession(s, "stalled")
	case closeIdle:
		go c.closeSession(s, "idle")
	case stopAccepting:
		c.mu.Lock()
		s.goAwaySent = now
		c.mu.Unlock()
		go s.mux.GoAway()
	case ping:
		c.ping(s)
	case keep:
	}
}

// ping pings the peer unless an earlier ping is still in progress.
func (c *Connector) ping(s *session) {
	if s.pinging.CompareAndSwap(false, true) {
		go func() {
			defer s.pinging.Store(false)
			_, _ = s.mux.Ping()
		}()
	}
}

// pruneTargets drops the dial state of addresses that are no longer dialled.
func (c *Connector) pruneTargets(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, t := range c.targets {
		if t.current == nil && now.Sub(t.retryAt) > 2*maxBackoff {
			delete(c.targets, address)
		}
	}
}

func (c *Connector) condition(now time.Time, s *session) condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	streams := s.mux.NumStreams()
	if streams > 0 {
		s.lastUsed = now
	}
	result := condition{silence: s.conn.silence(now), idle: now.Sub(s.lastUsed), streams: streams, superseded: s.superseded}
	if !s.goAwaySent.IsZero() {
		result.sinceGoAway = max(now.Sub(s.goAwaySent), 1)
	}
	return result
}
