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

// maxAnswerDelay bounds the delay between the deadline and the answer to the
// caller.
const maxAnswerDelay = 100 * time.Millisecond

// blockedConn is a stream of a session whose connection accepts no data. Like a
// stream of yamux, it ignores deadlines in this state.
type blockedConn struct {
	net.Conn
	// writesLeft is the number of writes that still succeed.
	writesLeft atomic.Int64
}

func (c *blockedConn) Write(p []byte) (int, error) {
	if c.writesLeft.Add(-1) >= 0 {
		return len(p), nil
	}
	time.Sleep(time.Second)
	return 0, io.ErrClosedPipe
}

func (c *blockedConn) Close() error {
	time.Sleep(time.Second)
	return c.Conn.Close()
}

// dialSilent returns a stream whose peer reads everything and sends nothing.
func dialSilent(_ context.Context, _ netip.AddrPort, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	return client, nil
}

func dialBlocked(_ context.Context, _ netip.AddrPort, _ string) (net.Conn, error) {
	client, _ := net.Pipe()
	return &blockedConn{Conn: client}, nil
}

func dialBlockedAfterHead(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
	conn, err := dialBlocked(ctx, to, kind)
	conn.(*blockedConn).writesLeft.Store(1)
	return conn, err
}

// dialHanging blocks regardless of its context and then fails.
func dialHanging(context.Context, netip.AddrPort, string) (net.Conn, error) {
	time.Sleep(time.Second)
	return nil, errRefusedDial
}

// Guards against an answer that is delayed beyond the deadline because a peer or
// upstream is silent, and against work that continues after the deadline. On a
// busy machine, the thread with the call's timer may be delayed by up to 620 ms
// in real time. Delays are therefore measured on the clock of synctest, and work
// by the processor time of the whole call.
func TestDeadlineIsPrompt(t *testing.T) {
	const both, local, peer = 0, 1, 2
	fillSlots := func(fx *fixture) {
		fx.limiter.Resize(limiter.Limits{Slots: 1, Queue: 1})
		_, _ = fx.limiter.Acquire(context.Background(), time.Now(), limiter.Request{})
	}
	cases := map[string]struct {
		path    int
		setUp   func(fx *fixture)
		body    string
		status  int
		reached bool
	}{
		"silent upstream":               {status: 504, reached: true},
		"silent upstream, large upload": {body: largeBody, status: 504, reached: true},
		"queued":                        {setUp: fillSlots, status: 503},
		"queued, large upload":          {setUp: fillSlots, body: largeBody, status: 503},
		"silent peer":                   {path: peer, setUp: func(fx *fixture) { fx.open = dialSilent }, status: 504},
		"peer takes no bytes":           {path: peer, setUp: func(fx *fixture) { fx.open = dialBlocked }, status: 504},
		"peer takes the head only":      {path: peer, setUp: func(fx *fixture) { fx.open = dialBlockedAfterHead }, status: 504},
		"peer hangs in connecting":      {path: peer, setUp: func(fx *fixture) { fx.open = dialHanging }, status: 503},
		"stream lost, query hangs": {path: peer, setUp: func(fx *fixture) {
			fx.open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
				if kind == KindQuery {
					return dialHanging(ctx, to, kind)
				}
				client, server := net.Pipe()
				return client, server.Close()
			}
		}, status: 504},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			forBothPaths(t, func(t *testing.T, onLocal bool) {
				if c.path == local && !onLocal || c.path == peer && onLocal {
					t.SkipNow()
				}
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ended := make(chan time.Time, 1)
					fx := newFixtureWith(t, onLocal, func(_ http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						<-r.Context().Done()
						ended <- time.Now()
					}, useMemoryListener)
					fx.match.Timeout = 300 * time.Millisecond
					if c.setUp != nil {
						c.setUp(fx)
					}
					due := time.Now().Add(fx.match.Timeout)
					cpuBefore := cpuTime()
					got := fx.send(http.MethodPost, "/x", strings.NewReader(c.body))
					late := time.Since(due)
					is.Equal(got.status, c.status)
					is.Equal(got.reason, "deadline")
					if late > maxAnswerDelay {
						t.Errorf("answered %s after the deadline", late)
					}
					if c.reached {
						if late := (<-ended).Sub(due); late > maxAnswerDelay {
							t.Errorf("upstream canceled %s after the deadline", late)
						}
					}
					if took := cpuTime() - cpuBefore; took > maxAnswerDelay {
						t.Errorf("took %s of processor time", took)
					}
					time.Sleep(time.Minute) // synctest fails if a goroutine is still running after that
				})
			})
		})
	}
}

// Guards against a call that waits for a peer whose host drops its packets
// although another instance is available, and against an attempt that is charged
// or not repeated although nothing was sent.
func TestHangingConnect(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "not repeatable": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixtureWith(t, false, reply("ok"), useMemoryListener)
				fx.match.Repeatable, fx.maxRetries = repeatable, 1
				fx.instances = []sycamorerun.Instance{{Name: "hanging"}, {Name: "beside", Address: upstreamNodeAddress}}
				fx.open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
					if to != upstreamNodeAddress {
						return dialHanging(ctx, to, kind)
					}
					return fx.dialUpstreamNode(ctx, to, kind)
				}
				start := time.Now()
				is.Equal(fx.send(http.MethodPost, "/x", strings.NewReader("a")).body, "ok")
				took := time.Since(start)
				is.True(took >= openTimeout)
				is.True(took < openTimeout+maxAnswerDelay)
				is.Equal((<-fx.observed).Reason, reasonPeerUnreachable)
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards the retry budget: only attempts that may have reached an upstream are
// charged, including those that the upstream rejected. The entry node learns
// this from the node beside the upstream, together with the time until capacity
// is expected.
func TestAttemptSent(t *testing.T) {
	const unexecuted = "X-Unexecuted"
	cases := map[string]struct {
		handler http.HandlerFunc
		setUp   func(fx *fixture)
		want    Attempt
	}{
		"queue full": {
			setUp: func(fx *fixture) { fx.limiter.Resize(limiter.Limits{}) },
			want:  Attempt{Result: sycamorerun.NotRun, Reason: "queue-full"},
		},
		"expected to wait for too long": {
			setUp: func(fx *fixture) {
				for _, f := range []*Forwarder{fx.entry, fx.upstreamNode} {
					f.Acquire = func(context.Context, time.Time, SlotRequest) (func(), Rejection) {
						return nil, Rejection{Reason: "busy", After: 2 * time.Second}
					}
				}
			},
			want: Attempt{Result: sycamorerun.NotRun, Reason: "busy"},
		},
		"idle in the queue": { // not canceled by its caller, so it may be tried elsewhere
			setUp: func(fx *fixture) {
				fx.limiter.Resize(limiter.Limits{Slots: 1, Queue: 2})
				_, _ = fx.limiter.Acquire(context.Background(), time.Now(), limiter.Request{})
				fx.match.Idle = 100 * time.Millisecond
			},
			want: Attempt{Result: sycamorerun.NotRun, Reason: "idle"},
		},
		"draining": {
			setUp: func(fx *fixture) { _ = fx.upstreamNode.Drain(context.Background()) },
			want:  Attempt{Result: sycamorerun.NotRun, Reason: "draining"},
		},
		"upstream refuses": {
			setUp: func(fx *fixture) {
				fx.upstreamNode.Upstream = Transport(netip.MustParseAddrPort(unusedAddress()), 1, DefaultContract)
			},
			want: Attempt{Result: sycamorerun.NotRun, Reason: "upstream-unreachable"},
		},
		"upstream rejects": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(unexecuted, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			setUp: checkResponses,
			want:  Attempt{Result: sycamorerun.NotRun, Reason: "rejected", Sent: true, Sends: 1},
		},
		"upstream breaks": {
			handler: respondAndClose(""),
			want:    Attempt{Result: sycamorerun.Unknown, Reason: "upstream-broken", Sent: true, Sends: 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			forBothPaths(t, func(t *testing.T, local bool) {
				if local && name == "draining" {
					t.SkipNow() // the entry node itself refuses
				}
				is := is.New(t)
				if c.handler == nil {
					c.handler = reply("ok")
				}
				fx := newFixture(t, local, c.handler)
				fx.match.Attempts = 5
				fx.entry.Contract.Unexecuted, fx.upstreamNode.Contract.Unexecuted = unexecuted, unexecuted
				if c.setUp != nil {
					c.setUp(fx)
				}
				var got Attempt
				fx.entry.AllowRetry = func(_ time.Time, attempt Attempt) (time.Duration, bool) {
					got = attempt
					return 0, false
				}
				response, err := fx.callerServer.Client().Get(fx.callerServer.URL + "/x")
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.True(got.TimeLeft > 0 && got.TimeLeft <= fx.match.Timeout)
				c.want.Service, c.want.Number, c.want.ParentAttempt, c.want.Limit, c.want.TimeLeft = "s", 1, 1, 5, got.TimeLeft
				is.Equal(got, c.want)
				observed := <-fx.observed
				if c.want.Reason == "busy" {
					is.Equal(observed.RetryAfter, 2*time.Second)
					after, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
					is.NoErr(err)
					is.True(after >= 1600*time.Millisecond && after <= 2400*time.Millisecond)
				}
			})
		})
	}
}

// Guards against callers that retry before there is capacity, all at the same
// time, or much later than necessary.
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
			is.New(t).Equal((&failure{retryAfter: c.after}).retryAfterHeader(c.random), c.want)
		})
	}
	is := is.New(t)
	first, second := &failure{retryAfter: time.Second}, &failure{retryAfter: 2 * time.Second}
	is.Equal(mergeFailures(first, second).retryAfter, time.Second) // the shortest delay is kept
	is.Equal(mergeFailures(first, &failure{}).retryAfter, time.Second)
	is.Equal(mergeFailures(&failure{}, &failure{retryAfter: time.Minute}).retryAfter, time.Minute)
}

// Guards against a failure that is reported only after waiting for the rest of a
// body that the caller does not send.
func TestFailureIsNotDelayed(t *testing.T) {
	for _, fails := range []string{"upstream", "stream"} {
		t.Run(fails, func(t *testing.T) {
			forBothPaths(t, func(t *testing.T, local bool) {
				if local && fails == "stream" {
					t.SkipNow()
				}
				is := is.New(t)
				broke, calls := make(chan time.Time, 1), make(chan net.Conn, 1)
				fx := newFixture(t, local, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadFull(r.Body, make([]byte, 4))
					if broke <- time.Now(); fails == "stream" {
						_ = (<-calls).Close()
						_, _ = io.Copy(io.Discard, r.Body)
					} else if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
						_ = conn.Close()
					}
				})
				fx.open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
					conn, err := fx.dialUpstreamNode(ctx, to, kind)
					if kind == KindCall {
						calls <- conn
					}
					return conn, err
				}
				conn, reader, err := sendRaw(fx, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nhalf")
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				took := time.Since(<-broke)
				is.NoErr(response.Body.Close())
				is.Equal(response.StatusCode, http.StatusBadGateway)
				if took > maxAnswerDelay {
					t.Errorf("answered %s after the failure", took)
				}
			})
		})
	}
}

// Guards the order of the queue: the attributes of a call must reach the node
// beside the upstream.
func TestSlotRequestAttributes(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		fx := newFixture(t, local, reply("ok"))
		fx.match.Rank, fx.match.Objective, fx.match.Nested, fx.match.Account = 3, 80*time.Millisecond, true, "notary"
		fx.match.Timeout = 10 * time.Second
		var got SlotRequest
		fx.upstreamNode.Acquire = func(_ context.Context, _ time.Time, request SlotRequest) (func(), Rejection) {
			got = request
			return func() {}, Rejection{}
		}
		before := time.Now()
		is.Equal(fx.send(http.MethodGet, "/x", nil).body, "ok")
		is.True(got.Arrived.After(before.Add(-time.Millisecond)) && got.Arrived.Before(time.Now()))
		left := got.Deadline.Sub(got.Arrived)
		maxLeft := fx.match.Timeout
		if !local {
			maxLeft -= maxReplyMargin - 2*time.Millisecond // both times are sent in whole milliseconds
		}
		is.True(left <= maxLeft && left > maxLeft-100*time.Millisecond)
		got.Arrived, got.Deadline = time.Time{}, time.Time{}
		is.Equal(got, SlotRequest{Rank: 3, Objective: 80 * time.Millisecond, Nested: true, Account: "notary"})
	})
}
