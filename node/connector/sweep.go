package connector

import (
	"context"
	"time"
)

// action is what the sweep does with a session.
type action int

const (
	keep action = iota
	ping
	closeStalled
	// stopAccepting sends GoAway; the session ends one sweep or more later,
	// so that streams already on their way are served.
	stopAccepting
	closeIdle
)

// condition is what the sweep knows of a session.
type condition struct {
	silence time.Duration
	// unused is the time without streams.
	unused  time.Duration
	streams int
	retired bool
	// away is the time since this end stopped accepting, zero before that.
	away time.Duration
}

// next decides what to do with a session.
func (l Limits) next(c condition) action {
	switch {
	case c.silence >= l.Stall:
		return closeStalled
	case c.away >= l.Ping && c.streams == 0:
		return closeIdle
	case c.away == 0 && c.streams == 0 && (c.unused >= l.Idle || c.retired && c.unused >= l.Linger):
		return stopAccepting
	case c.silence >= l.Ping:
		return ping
	}
	return keep
}

// sweep looks after all sessions until ctx ends. One timer for all of them
// costs less than a timer and a goroutine each.
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
				c.look(now, s)
			}
			c.forgetTargets(now)
		}
	}
}

func (c *Connector) look(now time.Time, s *session) {
	switch c.limits.next(c.condition(now, s)) {
	case closeStalled:
		// Closing may wait for a write in progress, so it must not hold up
		// the sweep of other sessions.
		go c.closeSession(s, "stalled")
	case closeIdle:
		go c.closeSession(s, "idle")
	case stopAccepting:
		c.mu.Lock()
		s.away = now
		c.mu.Unlock()
		go s.mux.GoAway()
	case ping:
		c.ping(s)
	case keep:
	}
}

// ping asks the peer for a sign of life, unless an earlier ping is under way.
func (c *Connector) ping(s *session) {
	if s.pinging.CompareAndSwap(false, true) {
		go func() {
			defer s.pinging.Store(false)
			_, _ = s.mux.Ping()
		}()
	}
}

// forgetTargets drops the failures of addresses that nobody dials any more.
func (c *Connector) forgetTargets(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, t := range c.targets {
		if t.current == nil && now.Sub(t.retry) > 2*backoffMost {
			delete(c.targets, address)
		}
	}
}

func (c *Connector) condition(now time.Time, s *session) condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	streams := s.mux.NumStreams()
	if streams > 0 {
		s.used = now
	}
	found := condition{silence: s.wire.silence(now), unused: now.Sub(s.used), streams: streams, retired: s.retired}
	if !s.away.IsZero() {
		found.away = max(now.Sub(s.away), 1)
	}
	return found
}
