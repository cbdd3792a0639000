package server

import (
	"context"
	"time"
)

// take waits for a slot and reports whether there is one. Requests beyond the
// slots wait in the queue; those beyond the queue, and those whose client goes
// away first, get none.
func (s *Server) take(ctx context.Context) bool {
	s.once.Do(func() { s.slots = make(chan struct{}, s.Slots) })
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.queued.Add(1) > int64(s.Queue) {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// release gives a slot back.
func (s *Server) release() { <-s.slots }

// slowed returns how long work takes now: after the start, Slowdown times as
// long, which falls to the normal time within Cold.
func (s *Server) slowed(work time.Duration) time.Duration {
	age := s.Now().Sub(s.Started)
	if s.Slowdown <= 1 || age >= s.Cold {
		return work
	}
	rest := 1 - float64(age)/float64(s.Cold)
	return time.Duration(float64(work) * (1 + (s.Slowdown-1)*rest))
}
