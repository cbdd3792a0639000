package limiter

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Default ranks of the traffic classes.
const interactive, bulk, background = 4, 8, 12

// pendingCall is a call that requests a slot in a goroutine of its own.
type pendingCall struct {
	release func()
	refusal Refusal
	done    chan struct{}
}

// acquireAsync starts Acquire in a goroutine and returns when the call is queued or
// decided.
func acquireAsync(ctx context.Context, l *Limiter, want Request) *pendingCall {
	before := l.Load().Queued
	a := &pendingCall{done: make(chan struct{})}
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

func (a *pendingCall) wait() string {
	<-a.done
	return a.refusal.Reason
}

// newFullLimiter returns a limiter with a fixed clock and all slots taken, and the
// functions that release the slots.
func newFullLimiter(limits Limits) (*Limiter, []func()) {
	l := New(limits)
	l.Now = func() time.Time { return start }
	var releases []func()
	for range limits.maxRunning() {
		release, _ := l.Acquire(context.Background(), start, Request{Rank: background})
		releases = append(releases, release)
	}
	return l, releases
}

// TestShed guards against calls shed in the wrong order: background calls are shed
// before bulk calls, bulk before interactive ones, and no call displaces a call of
// its own class.
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
		"bulk does not displace interactive":    {[2]int{i, i}, b, 2, QueueFull},
		"interactive does not displace its own": {[2]int{i, i}, i, 2, QueueFull},
		"background does not displace its own":  {[2]int{b, g}, g, 2, QueueFull},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, releases := newFullLimiter(Limits{Slots: 1, Queue: 2})
			ctx, cancel := context.WithCancel(context.Background())
			var calls []*pendingCall
			for _, rank := range append(c.queued[:], c.arriving) {
				// The last call may displace another one and leave the queue length
				// unchanged, so acquireAsync can't be used to wait for it.
				if len(calls) == 2 {
					a := &pendingCall{done: make(chan struct{})}
					go func() {
						defer close(a.done)
						a.release, a.refusal = l.Acquire(ctx, start, Request{Rank: rank})
					}()
					calls = append(calls, a)
					continue
				}
				calls = append(calls, acquireAsync(ctx, l, Request{Rank: rank}))
			}
			is.Equal(calls[c.refused].wait(), c.refusal)
			is.Equal(l.Load().Queued, 2)
			cancel()
			for at, a := range calls {
				if at != c.refused {
					is.Equal(a.wait(), Canceled)
				}
			}
			releases[0]()
			is.Equal(l.Load(), Load{Slots: 1})
		})
	}
}

// TestExpiredIsNotStarted guards against starting a call whose deadline passed in
// the queue, and against losing the slot that it was granted.
func TestExpiredIsNotStarted(t *testing.T) {
	is := is.New(t)
	l, releases := newFullLimiter(Limits{Slots: 1, Queue: 2})
	late := acquireAsync(context.Background(), l, Request{Rank: interactive, Deadline: start.Add(time.Second)})
	next := acquireAsync(context.Background(), l, Request{Rank: background, Deadline: start.Add(time.Hour)})
	l.Now = func() time.Time { return start.Add(time.Second) }
	releases[0]()
	is.Equal(late.wait(), Expired)
	is.Equal(next.wait(), "")
	is.Equal(l.Load(), Load{Running: 1, Slots: 1})
	_, refusal := l.Acquire(context.Background(), l.Now(), Request{Rank: interactive, Deadline: start})
	is.Equal(refusal.Reason, Expired)
}

// TestLimits guards against running more calls than slots or connections permit,
// against releasing a slot twice, and against starting the calls of a class out of
// the order of arrival.
func TestLimits(t *testing.T) {
	is := is.New(t)
	l, releases := newFullLimiter(Limits{Slots: 6, Queue: 3, Connections: 2})
	is.Equal(len(releases), 2)
	first := acquireAsync(context.Background(), l, Request{Rank: bulk})
	second := acquireAsync(context.Background(), l, Request{Rank: bulk})
	urgent := acquireAsync(context.Background(), l, Request{Rank: interactive})
	releases[0]()
	releases[0]()
	is.Equal(urgent.wait(), "")
	is.Equal(l.Load(), Load{Running: 2, Queued: 2, Slots: 2})
	urgent.release()
	is.Equal(first.wait(), "")
	l.Resize(Limits{Slots: 6, Queue: 0, Connections: 2})
	is.Equal(second.wait(), Shed)
	l.Resize(Limits{Slots: 3})
	is.Equal(l.Load(), Load{Running: 2, Slots: 3})
}
