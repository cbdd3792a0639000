package server

import (
	"context"
	"time"
)

// acquireSlot waits for a slot and reports whether it got one. It returns false
// if the queue is full or ctx ends first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	s.initSlots.Do(func() { s.slots = make(chan struct{}, s.Slots) })
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

// releaseSlot frees a slot.
func (s *Server) releaseSlot() { <-s.slots }

// withSlowdown returns the current duration of work: it is multiplied by Slowdown
// at the start, and the factor falls linearly to 1 within Cold.
func (s *Server) withSlowdown(work time.Duration) time.Duration {
	age := s.Now().Sub(s.Started)
	if s.Slowdown <= 1 || age >= s.Cold {
		return work
	}
	coldFraction := 1 - float64(age)/float64(s.Cold)
	return time.Duration(float64(work) * (1 + (s.Slowdown-1)*coldFraction))
}
