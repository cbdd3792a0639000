package caller

import (
	"context"
	"time"
)

const (
	// stallTick is how often the callers look at the clock, stallLeast how much
	// later than asked for counts as a stall.
	stallTick  = 10 * time.Millisecond
	stallLeast = 100 * time.Millisecond
)

// Stall is a time in which the callers' own process did not run. What seems late
// then may have been in time.
type Stall struct {
	From, To time.Time
}

// Stalls returns the stalls of the run.
func (c *Generator) Stalls() []Stall {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stalls[:len(c.stalls):len(c.stalls)]
}

// watch records stalls until ctx ends.
func (c *Generator) watch(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallTick)
		now := time.Now()
		if now.Sub(last) > stallTick+stallLeast {
			c.mutex.Lock()
			c.stalls = append(c.stalls, Stall{last, now})
			c.mutex.Unlock()
		}
		last = now
	}
}
