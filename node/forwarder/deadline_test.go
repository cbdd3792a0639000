package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/limiter"
)

// answerTime is the target for the answer at a deadline.
const answerTime = 100 * time.Millisecond

// stuckConn is a stream of a session that takes no bytes. Like one of yamux, it
// does not heed deadlines then.
type stuckConn struct {
	net.Conn
	// writes is the number of writes before that.
	writes atomic.Int64
}

func (c *stuckConn) Write(p []byte) (int, error) {
	if c.writes.Add(-1) >= 0 {
		return len(p), nil
	}
	time.Sleep(time.Second)
	return 0, io.ErrClosedPipe
}

func (c *stuckConn) Close() error {
	time.Sleep(time.Second)
	return c.Conn.Close()
}

// mute takes everything and answers nothing.
func mute(_ context.Context, _ netip.AddrPort, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	return near, nil
}

func stuck(_ context.Context, _ netip.AddrPort, _ string) (net.Conn, error) {
	near, _ := net.Pipe()
	return &stuckConn{Conn: near}, nil
}

func stuckLater(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
	conn, err := stuck(ctx, to, kind)
	conn.(*stuckConn).writes.Store(1)
	return conn, err
}

// hang opens nothing, whatever its context says.
func hang(context.Context, netip.AddrPort, string) (net.Conn, error) {
	time.Sleep(time.Second)
	return nil, errRefusedDial
}

// Guards against an answer that is late because something is silent at the
// deadline, and against work that goes on after it. In real time, a busy machine
// lets the thread with the call's timer wait for up to 620 ms, so the waits are
// measured by the clock of synctest, and the work by the processor time of the
// whole call.
func TestDeadlineIsPrompt(t *testing.T) {
	const both, local, peer = 0, 1, 2
	busy := func(b *bed) {
		b.limiter.Resize(limiter.Limits{Slots: 1, Queue: 1})
		_, _ = b.limiter.Acquire(context.Background(), time.Now(), limiter.Request{})
	}
	cases := map[string]struct {
		on      int
		setUp   func(b *bed)
		body    string
		status  int
		reached bool
	}{
		"silent upstream":               {status: 504, reached: true},
		"silent upstream, large upload": {body: large, status: 504, reached: true},
		"queued":                        {setUp: busy, status: 503},
		"queued, large upload":          {setUp: busy, body: large, status: 503},
		"silent peer":                   {on: peer, setUp: func(b *bed) { b.open = mute }, status: 504},
		"peer takes no bytes":           {on: peer, setUp: func(b *bed) { b.open = stuck }, status: 504},
		"peer takes the head only":      {on: peer, setUp: func(b *bed) { b.open = stuckLater }, status: 504},
		"peer hangs in connecting":      {on: peer, setUp: func(b *bed) { b.open = hang }, status: 503},
		"stream lost, query hangs": {on: peer, setUp: func(b *bed) {
			b.open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
				if kind == KindQuery {
					return hang(ctx, to, kind)
				}
				near, far := net.Pipe()
				return near, far.Close()
			}
		}, status: 504},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			paths(t, func(t *testing.T, onLocal bool) {
				if c.on == local && !onLocal || c.on == peer && onLocal {
					t.SkipNow()
				}
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ended := make(chan time.Time, 1)
					b := newBedOver(t, onLocal, func(_ http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						<-r.Context().Done()
						ended <- time.Now()
					}, inMemory)
					b.match.Timeout = 300 * time.Millisecond
					if c.setUp != nil {
						c.setUp(b)
					}
					due := time.Now().Add(b.match.Timeout)
					before := processor()
					got := b.send(http.MethodPost, "/x", strings.NewReader(c.body))
					late := time.Since(due)
					is.Equal(got.status, c.status)
					is.Equal(got.reason, "deadline")
					if late > answerTime {
						t.Errorf("answered %s after the deadline", late)
					}
					if c.reached {
						if late := (<-ended).Sub(due); late > answerTime {
							t.Errorf("upstream canceled %s after the deadline", late)
						}
					}
					if took := processor() - before; took > answerTime {
						t.Errorf("took %s of processor time", took)
					}
					time.Sleep(time.Minute) // synctest fails if anything goes on after that
				})
			})
		})
	}
}

// Guards against a call that waits for a peer whose host drops its packets
// although another instance is there, and against an attempt that is charged or
// forbidden although nothing was sent.
func TestHangingConnect(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "not repeatable": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBedOver(t, false, reply("ok"), inMemory)
				b.match.Repeatable, b.retries = repeatable, 1
				b.picks = []sycamorerun.Instance{{Name: "hanging"}, {Name: "beside", Address: peerAddress}}
				b.open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
					if to != peerAddress {
						return hang(ctx, to, kind)
					}
					return b.dial(ctx, to, kind)
				}
				began := time.Now()
				is.Equal(b.send(http.MethodPost, "/x", strings.NewReader("a")).body, "ok")
				took := time.Since(began)
				is.True(took >= openTime)
				is.True(took < openTime+answerTime)
				is.Equal((<-b.observed).Reason, reasonPeer)
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards the budget: only attempts that may have reached an upstream are
// charged, and a rejection by the upstream is one. The entry must learn that
// from the node beside the upstream, with the time until there is capacity.
func TestSent(t *testing.T) {
	const unexecuted = "X-Unexecuted"
	cases := map[string]struct {
		handler http.HandlerFunc
		setUp   func(b *bed)
		want    Attempt
	}{
		"queue full": {
			setUp: func(b *bed) { b.limiter.Resize(limiter.Limits{}) },
			want:  Attempt{Result: sycamorerun.NotRun, Reason: "queue-full"},
		},
		"expected to wait for too long": {
			setUp: func(b *bed) {
				for _, f := range []*Forwarder{b.entry, b.beside} {
					f.Acquire = func(context.Context, time.Time, Want) (func(), Rejection) {
						return nil, Rejection{Reason: "busy", After: 2 * time.Second}
					}
				}
			},
			want: Attempt{Result: sycamorerun.NotRun, Reason: "busy"},
		},
		"idle in the queue": { // not canceled by its caller: it may be tried elsewhere
			setUp: func(b *bed) {
				b.limiter.Resize(limiter.Limits{Slots: 1, Queue: 2})
				_, _ = b.limiter.Acquire(context.Background(), time.Now(), limiter.Request{})
				b.match.Idle = 100 * time.Millisecond
			},
			want: Attempt{Result: sycamorerun.NotRun, Reason: "idle"},
		},
		"draining": {
			setUp: func(b *bed) { _ = b.beside.Drain(context.Background()) },
			want:  Attempt{Result: sycamorerun.NotRun, Reason: "draining"},
		},
		"upstream refuses": {
			setUp: func(b *bed) { b.beside.Upstream = Transport(netip.MustParseAddrPort(closed()), 1, DefaultContract) },
			want:  Attempt{Result: sycamorerun.NotRun, Reason: "upstream-unreachable"},
		},
		"upstream rejects": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(unexecuted, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			setUp: contracted,
			want:  Attempt{Result: sycamorerun.NotRun, Reason: "rejected", Sent: true, Sends: 1},
		},
		"upstream breaks": {
			handler: hijack(""),
			want:    Attempt{Result: sycamorerun.Unknown, Reason: "upstream-broken", Sent: true, Sends: 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			paths(t, func(t *testing.T, local bool) {
				if local && name == "draining" {
					t.SkipNow() // the entry itself refuses
				}
				is := is.New(t)
				if c.handler == nil {
					c.handler = reply("ok")
				}
				b := newBed(t, local, c.handler)
				b.match.Attempts = 5
				b.entry.Contract.Unexecuted, b.beside.Contract.Unexecuted = unexecuted, unexecuted
				if c.setUp != nil {
					c.setUp(b)
				}
				var got Attempt
				b.entry.Allow = func(_ time.Time, attempt Attempt) (time.Duration, bool) {
					got = attempt
					return 0, false
				}
				response, err := b.caller.Client().Get(b.caller.URL + "/x")
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.True(got.Left > 0 && got.Left <= b.match.Timeout)
				c.want.Service, c.want.Number, c.want.Level, c.want.Limit, c.want.Left = "s", 1, 1, 5, got.Left
				is.Equal(got, c.want)
				observed := <-b.observed
				if c.want.Reason == "busy" {
					is.Equal(observed.After, 2*time.Second)
					after, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
					is.NoErr(err)
					is.True(after >= 1600*time.Millisecond && after <= 2400*time.Millisecond)
				}
			})
		})
	}
}

// Guards against callers that come back before there is capacity, all at once,
// or long after.
func TestRetryAfter(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration
		random float64
		want   string
	}{
		"unknown":        {0, 0.5, "0.250"},
		"least":          {time.Millisecond, 0, "0.050"},
		"known":          {1234 * time.Millisecond, 0.5, "1.234"},
		"spread, early":  {time.Second, 0, "0.800"},
		"spread, late":   {time.Second, 1, "1.200"},
		"least, too":     {50 * time.Millisecond, 0, "0.050"},
		"least and late": {50 * time.Millisecond, 1, "0.060"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal((&failure{after: c.after}).retryAfter(c.random), c.want)
		})
	}
	is := is.New(t)
	first, second := &failure{after: time.Second}, &failure{after: 2 * time.Second}
	is.Equal(merge(first, second).after, time.Second) // the first capacity counts
	is.Equal(merge(first, &failure{}).after, time.Second)
	is.Equal(merge(&failure{}, &failure{after: time.Minute}).after, time.Minute)
}

// Guards against a failure that is told only after the wait for the rest of a
// body whose caller sends nothing.
func TestFailureIsNotHeldBack(t *testing.T) {
	for _, fails := range []string{"upstream", "stream"} {
		t.Run(fails, func(t *testing.T) {
			paths(t, func(t *testing.T, local bool) {
				if local && fails == "stream" {
					t.SkipNow()
				}
				is := is.New(t)
				broke, calls := make(chan time.Time, 1), make(chan net.Conn, 1)
				b := newBed(t, local, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadFull(r.Body, make([]byte, 4))
					if broke <- time.Now(); fails == "stream" {
						_ = (<-calls).Close()
						_, _ = io.Copy(io.Discard, r.Body)
					} else if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
						_ = conn.Close()
					}
				})
				b.open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
					conn, err := b.dial(ctx, to, kind)
					if kind == KindCall {
						calls <- conn
					}
					return conn, err
				}
				conn, reader, err := raw(b, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nhalf")
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				took := time.Since(<-broke)
				is.NoErr(response.Body.Close())
				is.Equal(response.StatusCode, http.StatusBadGateway)
				if took > answerTime {
					t.Errorf("answered %s after the failure", took)
				}
			})
		})
	}
}

// Guards the order of the queue against attributes that are lost on the way.
func TestWant(t *testing.T) {
	paths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		b := newBed(t, local, reply("ok"))
		b.match.Rank, b.match.Objective, b.match.Nested = 3, 80*time.Millisecond, true
		b.match.Timeout = 10 * time.Second
		var got Want
		b.beside.Acquire = func(_ context.Context, _ time.Time, want Want) (func(), Rejection) {
			got = want
			return func() {}, Rejection{}
		}
		before := time.Now()
		is.Equal(b.send(http.MethodGet, "/x", nil).body, "ok")
		is.True(got.Arrived.After(before.Add(-time.Millisecond)) && got.Arrived.Before(time.Now()))
		left := got.Deadline.Sub(got.Arrived)
		most := b.match.Timeout
		if !local {
			most -= replyTime - 2*time.Millisecond // both times travel in whole milliseconds
		}
		is.True(left <= most && left > most-100*time.Millisecond)
		got.Arrived, got.Deadline = time.Time{}, time.Time{}
		is.Equal(got, Want{Rank: 3, Objective: 80 * time.Millisecond, Nested: true})
	})
}
