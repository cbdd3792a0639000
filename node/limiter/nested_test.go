package limiter

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// link is a network link that packets of all transfers share.
type link struct {
	bytesPerSecond float64
	token          chan struct{}
}

const packetBytes = 1500

func newLink(bytesPerSecond float64) *link {
	return &link{bytesPerSecond, make(chan struct{}, 1)}
}

// send transfers a message and returns when it has arrived.
func (l *link) send(bytes int) {
	for ; bytes > 0; bytes -= packetBytes {
		l.token <- struct{}{}
		time.Sleep(time.Duration(float64(min(bytes, packetBytes)) / l.bytesPerSecond * float64(time.Second)))
		<-l.token
	}
}

// counter counts the calls of a kind that began in the interval that is judged.
type counter struct {
	mutex            sync.Mutex
	asked, succeeded int
}

func (c *counter) add(ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked++
	if ok {
		c.succeeded++
	}
}

func (c *counter) share() float64 { return float64(c.succeeded) / float64(c.asked) }

// nestedLoad is the load of a service with uploads whose reads are called by the
// upstreams of another service while they run calls of their own.
type nestedLoad struct {
	outer               []*Limiter
	inner               *Limiter
	link                *link
	random              *rand.Rand
	mutex               sync.Mutex
	outerCalls, uploads counter
	judged              atomic.Bool
}

// runTime draws the time of a run, with a spread as of requests that do different
// amounts of work.
func (n *nestedLoad) runTime(mean time.Duration) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return time.Duration(float64(mean) * math.Exp(0.5*n.random.NormFloat64()-0.125))
}

func (n *nestedLoad) chance() float64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.random.Float64()
}

// call runs a call of the outer service, of which most make a nested call in the
// middle of their run. It fails if that fails. A refused call is sent once more.
func (n *nestedLoad) call(ctx context.Context) bool {
	deadline := time.Now().Add(2 * time.Second)
	arrived := time.Now()
	for attempt := range 2 {
		l := n.outer[int(n.chance()*float64(len(n.outer)))]
		release, refusal := l.Acquire(ctx, time.Now(), Request{Rank: 2, Objective: 1200 * time.Millisecond, Deadline: deadline, Arrived: arrived})
		if refusal.Reason != "" {
			if attempt == 0 {
				time.Sleep(max(50*time.Millisecond, refusal.After))
			}
			continue
		}
		defer release()
		run := n.runTime(320 * time.Millisecond)
		time.Sleep(run / 2)
		if n.chance() < 0.7 && !n.read(ctx, deadline) {
			return false
		}
		time.Sleep(run / 2)
		return time.Now().Before(deadline)
	}
	return false
}

// read is the nested call.
func (n *nestedLoad) read(ctx context.Context, deadline time.Time) bool {
	if limit := time.Now().Add(800 * time.Millisecond); limit.Before(deadline) {
		deadline = limit
	}
	n.link.send(500)
	release, refusal := n.inner.Acquire(ctx, time.Now(), Request{Rank: 2, Objective: 250 * time.Millisecond, Deadline: deadline})
	if refusal.Reason != "" {
		return false
	}
	defer release()
	time.Sleep(n.runTime(62 * time.Millisecond))
	return time.Now().Before(deadline)
}

// upload sends a body to the inner service.
func (n *nestedLoad) upload(ctx context.Context) bool {
	deadline := time.Now().Add(3 * time.Second)
	received := make(chan struct{})
	release, refusal := n.inner.Acquire(ctx, time.Now(), Request{Rank: 2, Objective: 1200 * time.Millisecond, Deadline: deadline, BodyReceived: received})
	if refusal.Reason != "" {
		return false
	}
	defer release()
	n.link.send(int(n.runTime(60_000)))
	close(received)
	time.Sleep(n.runTime(300 * time.Millisecond))
	return time.Now().Before(deadline)
}

// generate starts calls at a rate until the end, times factor while a burst lasts.
func (n *nestedLoad) generate(group *sync.WaitGroup, perSecond float64, factor func(time.Time) float64, end time.Time, result *counter, call func() bool) {
	for time.Now().Before(end) {
		n.mutex.Lock()
		wait := n.random.ExpFloat64() / perSecond / factor(time.Now())
		n.mutex.Unlock()
		time.Sleep(time.Duration(wait * float64(time.Second)))
		judged := n.judged.Load()
		group.Go(func() {
			if ok := call(); judged {
				result.add(ok)
			}
		})
	}
}

// Guards against an overload that outlives its cause: upstreams of one service call
// another one, whose slots and link are nearly full with uploads. After a burst of
// calls, the nested calls were refused, so that the outer calls that had run failed,
// and uploads held the slots for as long as they shared the link.
func TestNestedCallsAfterBurst(t *testing.T) {
	cases := map[string]struct {
		uploads            float64 // a second
		minOuter, minInner float64
	}{
		"link nearly full": {18, 0.95, 0.9},
		"link too small":   {24, 0.9, 0.6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const slots, queue = 13, 48
				n := &nestedLoad{
					inner: New(Limits{Slots: slots, Queue: queue}), link: newLink(1.25e6),
					random: rand.New(rand.NewPCG(1, 2)),
				}
				for range 5 {
					n.outer = append(n.outer, New(Limits{Slots: slots, Queue: queue}))
				}
				start := time.Now()
				burst := func(now time.Time) float64 {
					if since := now.Sub(start); since > 5*time.Second && since < 10*time.Second {
						return 1.6
					}
					return 1
				}
				var group sync.WaitGroup
				end := start.Add(30 * time.Second)
				group.Go(func() {
					n.generate(&group, 95, burst, end, &n.outerCalls, func() bool { return n.call(t.Context()) })
				})
				group.Go(func() {
					n.generate(&group, c.uploads, burst, end, &n.uploads, func() bool { return n.upload(t.Context()) })
				})
				time.Sleep(15 * time.Second)
				n.judged.Store(true)
				group.Wait()
				t.Logf("outer calls %.3f of %d, uploads %.3f of %d", n.outerCalls.share(), n.outerCalls.asked, n.uploads.share(), n.uploads.asked)
				is.True(n.outerCalls.share() >= c.minOuter)
				is.True(n.uploads.share() >= c.minInner)
			})
		})
	}
}
