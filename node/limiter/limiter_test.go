package limiter

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Ranks of the classes.
const interactive, bulk, background = 4, 8, 12

// arrival is a call that asks for a slot in a goroutine of its own.
type arrival struct {
	release func()
	refusal Refusal
	done    chan struct{}
}

// arrive starts Acquire and waits until the call is in the queue or decided.
func arrive(ctx context.Context, l *Limiter, want Request) *arrival {
	before := l.Load().Queued
	a := &arrival{done: make(chan struct{})}
	go func() {
		defer close(a.done)
		a.release, a.refusal = l.Acquire(ctx, l.Now(), want)
	}()
	for {
		select {
		case <-a.done:
			return a
		default:
		}
		if l.Load().Queued > before {
			return a
		}
		time.Sleep(50 * time.Microsecond)
	}
}

func (a *arrival) wait() string {
	<-a.done
	return a.refusal.Reason
}

// full returns a limiter at a fixed time with all slots taken.
func full(limits Limits) (*Limiter, []func()) {
	l := New(limits)
	l.Now = func() time.Time { return start }
	var held []func()
	for range limits.running() {
		release, _ := l.Acquire(context.Background(), start, Request{Rank: background})
		held = append(held, release)
	}
	return l, held
}

// Guards the order in which load is shed: background before bulk before
// interactive, and never a call of the same class for another.
func TestShed(t *testing.T) {
	const i, b, g = interactive, bulk, background
	cases := map[string]struct {
		queued   [2]int
		arriving int
		refused  int // index of the refused call, 2 is the arriving one
		refusal  string
	}{
		"background gives way to interactive":   {[2]int{g, b}, i, 0, Shed},
		"bulk gives way to interactive":         {[2]int{i, b}, i, 1, Shed},
		"background gives way to bulk":          {[2]int{i, g}, b, 1, Shed},
		"the newest of a class gives way":       {[2]int{g, g}, i, 1, Shed},
		"bulk does not displace interactive":    {[2]int{i, i}, b, 2, Full},
		"interactive does not displace its own": {[2]int{i, i}, i, 2, Full},
		"background does not displace its own":  {[2]int{b, g}, g, 2, Full},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, held := full(Limits{Slots: 1, Queue: 2})
			ctx, cancel := context.WithCancel(context.Background())
			var calls []*arrival
			for _, rank := range append(c.queued[:], c.arriving) {
				// A displaced call leaves the length of the queue unchanged, so the
				// last arrival is not awaited in the queue.
				if len(calls) == 2 {
					a := &arrival{done: make(chan struct{})}
					go func() {
						defer close(a.done)
						a.release, a.refusal = l.Acquire(ctx, start, Request{Rank: rank})
					}()
					calls = append(calls, a)
					continue
				}
				calls = append(calls, arrive(ctx, l, Request{Rank: rank}))
			}
			is.Equal(calls[c.refused].wait(), c.refusal)
			is.Equal(l.Load().Queued, 2)
			cancel()
			for at, a := range calls {
				if at != c.refused {
					is.Equal(a.wait(), Canceled)
				}
			}
			held[0]()
			is.Equal(l.Load(), Load{Slots: 1})
		})
	}
}

// Guards against a start of a call whose deadline passed in the queue, and
// against a slot that is lost with it.
func TestExpiredIsNotStarted(t *testing.T) {
	is := is.New(t)
	l, held := full(Limits{Slots: 1, Queue: 2})
	late := arrive(context.Background(), l, Request{Rank: interactive, Deadline: start.Add(time.Second)})
	next := arrive(context.Background(), l, Request{Rank: background, Deadline: start.Add(time.Hour)})
	l.Now = func() time.Time { return start.Add(time.Second) }
	held[0]()
	is.Equal(late.wait(), Expired)
	is.Equal(next.wait(), "")
	is.Equal(l.Load(), Load{Running: 1, Slots: 1})
	_, refusal := l.Acquire(context.Background(), l.Now(), Request{Rank: interactive, Deadline: start})
	is.Equal(refusal.Reason, Expired)
}

// Guards the limits: slots and connections both bound the running calls, a slot
// is given back once, the order within a class is that of arrival.
func TestLimits(t *testing.T) {
	is := is.New(t)
	l, held := full(Limits{Slots: 6, Queue: 3, Connections: 2})
	is.Equal(len(held), 2)
	first := arrive(context.Background(), l, Request{Rank: bulk})
	second := arrive(context.Background(), l, Request{Rank: bulk})
	urgent := arrive(context.Background(), l, Request{Rank: interactive})
	held[0]()
	held[0]()
	is.Equal(urgent.wait(), "")
	is.Equal(l.Load(), Load{Running: 2, Queued: 2, Slots: 2})
	urgent.release()
	is.Equal(first.wait(), "")
	l.Resize(Limits{Slots: 6, Queue: 0, Connections: 2})
	is.Equal(second.wait(), Shed)
	l.Resize(Limits{Slots: 3})
	is.Equal(l.Load(), Load{Running: 2, Slots: 3})
}
