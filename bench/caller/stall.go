package caller

import (
	"context"
	"time"
)

const (
	// stallCheckInterval is the interval between checks of the clock. A check that
	// is late by more than minStall counts as a stall.
	stallCheckInterval = 10 * time.Millisecond
	minStall           = 100 * time.Millisecond
)

// Stall is an interval in which the process of the callers did not run. Responses
// that were read late because of it may have arrived in time.
type Stall struct {
	From, To time.Time
}

// Stalls returns the stalls recorded so far.
func (c *Generator) Stalls() []Stall {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stalls[:len(c.stalls):len(c.stalls)]
}

// detectStalls records stalls until ctx ends.
func (c *Generator) detectStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallCheckInterval)
		now := time.Now()
		if now.Sub(last) > stallCheckInterval+minStall {
			c.mutex.Lock()
			c.stalls = append(c.stalls, Stall{last, now})
			c.mutex.Unlock()
		}
		last = now
	}
}
