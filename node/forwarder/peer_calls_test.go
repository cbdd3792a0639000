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
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sycamorerun"
	"sycamorerun/encoder"
	"sycamorerun/node/limiter"
)

// Guards the outcome "not run" and the at-most-once execution: a request that
// arrives after its caller was told that it did not run must not run, and a
// request that arrives twice must run once.
func TestLateAndDuplicateRequests(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, false, reply("ok"))
	heads := make(chan *Head, 1)
	dial := fx.open
	fx.open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
		if kind == KindQuery {
			return dial(ctx, to, kind)
		}
		client, server := net.Pipe()
		go func() {
			frame, _ := encoder.Read[Frame](server, maxFrameBytes)
			heads <- frame.GetHead()
			_ = server.Close()
		}()
		return client, nil
	}
	got := fx.send(http.MethodGet, "/x", nil)
	is.Equal(got.reason, "peer-not-started")
	refusal := sendHead(t, fx, <-heads)
	is.Equal(refusal.GetRefused().GetResult(), "not-run")
	is.Equal(refusal.GetRefused().GetReason(), "refused")
	is.Equal(fx.executed.Load(), int64(0))

	head := &Head{Id: "twice/1", Sequence: 1000, Method: http.MethodGet, Target: []byte("/x"), Whole: true}
	is.Equal(string(sendHead(t, fx, head).GetResponse().GetBody()), "ok")
	is.Equal(sendHead(t, fx, head).GetRefused().GetReason(), "duplicate")
	is.Equal(fx.executed.Load(), int64(1))
}

// Guards against an upload that looks complete although its end frame is
// missing, or is that of another body or of a longer one. The test reads the body
// itself, since the cancellation that follows would usually hide a false end from
// an upstream.
func TestUploadWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		frame    *Frame
		complete bool
	}{
		"complete":    {&Frame{Kind: &Frame_End{End: &End{Complete: true, Size: proto.Uint64(4)}}}, true},
		"no size":     {&Frame{Kind: &Frame_End{End: &End{Complete: true}}}, true}, // of an earlier version
		"of another":  {&Frame{Kind: &Frame_End{End: &End{Complete: true, Size: proto.Uint64(0)}}}, false},
		"only a part": {&Frame{Kind: &Frame_End{End: &End{Complete: true, Size: proto.Uint64(5)}}}, false},
		"broken off":  {&Frame{Kind: &Frame_End{End: &End{}}}, false},
		"canceled":    {&Frame{Kind: &Frame_Cancel{Cancel: &Cancel{}}}, false},
		"stream lost": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := net.Pipe()
			receiver := &callReceiver{frames: &frameStream{conn: server}, calls: make(chan *inboundCall, 1)}
			go func() { _ = receiver.run() }()
			go func() {
				_, _ = encoder.Write(client, &Frame{Kind: &Frame_Head{Head: &Head{}}})
				_, _ = encoder.Write(client, &Frame{Kind: &Frame_Chunk{Chunk: []byte("half")}})
				if c.frame != nil {
					_, _ = encoder.Write(client, c.frame)
				}
				_ = client.Close()
			}()
			data, err := io.ReadAll((<-receiver.calls).requestBody(&call{}))
			is.Equal(string(data), "half")
			is.Equal(err == nil, c.complete)
		})
	}
}

// Guards the reuse of streams: the end of one call must not disturb the next
// one, and a pooled stream that was lost must not cost an attempt.
func TestStreamReuse(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, false, func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = w.Write(append([]byte(r.URL.Path), data...))
		}
	})
	var opened []net.Conn
	fx.open = func(ctx context.Context, to netip.AddrPort, kind string) (net.Conn, error) {
		conn, err := fx.dialUpstreamNode(ctx, to, kind)
		if kind == KindCall {
			opened = append(opened, conn)
		}
		return conn, err
	}
	for round := range 3 {
		is.Equal(fx.send(http.MethodGet, "/small", nil).body, "/small")
		is.True(fx.send(http.MethodPost, "/large", strings.NewReader(largeBody)).body == "/large"+largeBody)
		limits := limiter.Limits{Slots: 6, Queue: 2}
		fx.limiter.Resize(limiter.Limits{})
		is.Equal(fx.send(http.MethodPost, "/x", strings.NewReader(largeBody)).reason, "queue-full")
		fx.limiter.Resize(limits)
		is.Equal(fx.send(http.MethodGet, "/after", nil).body, "/after")
		is.Equal(len(opened), round+1)
		is.NoErr(opened[round].Close()) // lost while idle
	}
	is.Equal(fx.send(http.MethodGet, "/last", nil).body, "/last")
	is.Equal(fx.executed.Load(), int64(10))
	fx.upstreamNode.idlePeerStreams.Add(maxIdlePeerStreams) // no room for another idle stream
	is.Equal(fx.send(http.MethodGet, "/kept", nil).body, "/kept")
	is.Equal(len(fx.entry.pool.streams[upstreamNodeAddress]), 0)
	fx.upstreamNode.idlePeerStreams.Add(-maxIdlePeerStreams)
}

// Guards against reuse of a stream on which a part of another call is still
// being sent.
func TestOnlyCleanStreamsAreKept(t *testing.T) {
	cases := map[string]struct {
		complete, reusable, canceled bool
		upload                       uploadState
		want                         bool
	}{
		"whole":                    {complete: true, reusable: true, want: true},
		"whole with upload":        {complete: true, reusable: true, upload: uploadSent, want: true},
		"upload not finished":      {complete: true, reusable: true, upload: uploadRunning},
		"upload failed":            {complete: true, reusable: true, upload: uploadFailed},
		"response not ended":       {reusable: true},
		"peer keeps no more":       {complete: true},
		"canceled at the very end": {complete: true, reusable: true, canceled: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := net.Pipe()
			defer func() { _ = server.Close() }()
			kept := false
			body := &peerBody{
				frames: &frameStream{conn: client}, complete: c.complete, reusable: c.reusable, upload: c.upload,
				stopCancel: func() bool { return !c.canceled }, returnToPool: func() { kept = true },
			}
			body.Close()
			is.Equal(kept, c.want)
			is.Equal(client.SetDeadline(time.Time{}) == nil, kept) // closed unless returned to the pool
		})
	}
}

// Guards against the end frame of a body that arrives after the head of the next call:
// the body of that call would then look whole before any of it has arrived. The response
// ends before the end frame of the upload is sent.
func TestEndFrameBeforeNextCall(t *testing.T) {
	for name, received := range map[string]bool{"sent": true, "stream lost": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := net.Pipe()
			kept := make(chan struct{})
			body := &peerBody{
				frames: &frameStream{conn: client}, complete: true, reusable: true, watchdog: &watchdog{},
				stopCancel: func() bool { return true }, returnToPool: func() { close(kept) },
			}
			c := newUploadCall("body")
			body.startUpload(c)
			chunk, err := encoder.Read[Frame](server, maxFrameBytes)
			is.NoErr(err)
			is.Equal(string(chunk.GetChunk()), "body")
			is.True(waitFor(func() bool { return c.upload.complete.Load() }))
			time.Sleep(10 * time.Millisecond) // the end frame is being written
			body.Close()
			select {
			case <-kept:
				t.Fatal("the stream is kept for another call before the end frame was sent")
			case <-time.After(10 * time.Millisecond):
			}
			if !received {
				_ = server.Close()
				is.True(waitFor(func() bool { return client.SetDeadline(time.Time{}) != nil }))
				return
			}
			end, err := encoder.Read[Frame](server, maxFrameBytes)
			is.NoErr(err)
			is.True(end.GetEnd().GetComplete())
			<-kept
		})
	}
}

// newUploadCall returns a call whose body is streamed.
func newUploadCall(body string) *call {
	timer := time.NewTimer(time.Hour)
	return &call{length: -1, upload: &upload{
		body: io.NopCloser(strings.NewReader(body)), remaining: 1 << 20, watchdog: &watchdog{},
		idleTimer: timer, idleTimeout: time.Hour, onEnd: func() {},
	}}
}

// Guards against a second execution under an idempotency key, and against a
// recorded response that is returned for a different request.
func TestIdempotencyKeys(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		fx := newFixture(t, local, reply("booked"))
		key := []string{sycamorerun.HeaderKey, "k1"}
		send := func(body string, header ...string) callResult {
			return fx.send(http.MethodPost, "/x", strings.NewReader(body), header...)
		}
		is.Equal(send("a", key...), callResult{status: 200, outcome: "answered", body: "booked"})
		is.Equal(send("a", key...), callResult{status: 200, outcome: "answered", reason: "key-recorded", body: "booked"})
		is.Equal(send("b", key...).status, http.StatusUnprocessableEntity)
		is.Equal(send("a", append(key, "Authorization", "other")...).status, http.StatusUnprocessableEntity)
		is.Equal(fx.executed.Load(), int64(1))
	})
}

// Guards against calls that fail as "not run" while the ownership of their key
// is being transferred, and against waiting forever for an owner.
func TestKeyOwnershipTransfer(t *testing.T) {
	cases := map[string]struct {
		refusals int
		body     string
		want     callResult
		executed int64
	}{
		"owner not known yet":            {3, "a", callResult{status: 200, outcome: "answered", body: "ok"}, 1},
		"owner not known yet, streaming": {3, largeBody, callResult{status: 200, outcome: "answered", body: "ok"}, 1},
		"no owner":                       {1000, "a", callResult{status: 503, outcome: "not-run", reason: "key-elsewhere"}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forBothPaths(t, func(t *testing.T, local bool) {
				is := is.New(t)
				fx := newFixture(t, local, reply("ok"))
				begin, refusals := fx.upstreamNode.Begin, c.refusals
				fx.upstreamNode.Begin = func(now time.Time, claim Claim) sycamorerun.Decision {
					if refusals--; refusals >= 0 {
						return sycamorerun.Decision{Verdict: sycamorerun.VerdictRefused, Reason: "key-elsewhere"}
					}
					return begin(now, claim)
				}
				got := fx.send(http.MethodPost, "/x", strings.NewReader(c.body), sycamorerun.HeaderKey, "k")
				if c.want.outcome != "answered" {
					got.body = ""
				}
				is.Equal(got, c.want)
				fx.waitExecuted(t, c.executed)
			})
		})
	}
}

// Guards against retries outside of the retry budget when a kept connection
// breaks. http.Transport makes them for requests that it considers idempotent.
func TestTransportDoesNotRepeat(t *testing.T) {
	cases := map[string]struct {
		method     string
		header     []string
		repeatable bool
	}{
		"get that must not be repeated": {method: http.MethodGet},
		"get that may be repeated":      {method: http.MethodGet, repeatable: true},
		"head that may be repeated":     {method: http.MethodHead, repeatable: true},
		"get with a key":                {method: http.MethodGet, header: []string{sycamorerun.HeaderKey, "k"}, repeatable: true},
		"post with a key":               {method: http.MethodPost, header: []string{sycamorerun.HeaderKey, "k"}},
		"post with an x-key":            {method: http.MethodPost, header: []string{"X-Idempotency-Key", "k"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, true, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					return
				}
				respondAndClose("")(w, r)
			})
			fx.match.Repeatable = c.repeatable
			is.Equal(fx.send(http.MethodGet, "/warm", nil).status, http.StatusOK)
			is.Equal(fx.send(c.method, "/x", nil, c.header...).reason, "upstream-broken")
			is.Equal(fx.executed.Load(), int64(2)) // including the request to /warm
		})
	}
}

// Guards against retries that increase the retry budgets of services further
// down the call chain.
func TestRetriesAddNoBudget(t *testing.T) {
	cases := map[string]struct {
		header  []string
		counted int64
	}{
		"new call":      {nil, 1},
		"first attempt": {[]string{sycamorerun.HeaderAttempt, "1"}, 1},
		"retry":         {[]string{sycamorerun.HeaderAttempt, "2"}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, true, reply(""))
			var counted atomic.Int64
			fx.entry.CountCall = func(time.Time, string) { counted.Add(1) }
			is.Equal(fx.send(http.MethodGet, "/x", nil, c.header...).status, http.StatusOK)
			is.Equal(counted.Load(), c.counted)
		})
	}
}

// Guards against calls that all go to one upstream or are refused as repeated
// although the contract has no header for keys.
func TestContractWithoutKeys(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		fx := newFixture(t, local, reply("ok"))
		fx.entry.Contract.Key = ""
		fx.entry.Owner = func(string, string) (sycamorerun.Instance, bool) {
			t.Error("Owner called although the contract has no header for keys")
			return sycamorerun.Instance{}, false
		}
		for _, body := range []string{"one", "two"} {
			got := fx.send(http.MethodPost, "/x", strings.NewReader(body), sycamorerun.HeaderKey, "k")
			is.Equal(got, callResult{status: 200, outcome: "answered", body: "ok"})
		}
		fx.waitExecuted(t, 2)
	})
}

// unknownEnd is the end of a call about whose duration nothing is known.
func unknownEnd() callEnd { return callEnd{} }

// Guards against a planned stop that interrupts calls in flight.
func TestDrain(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		started, proceed := make(chan struct{}), make(chan struct{})
		fx := newFixture(t, local, func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-proceed
			_, _ = io.WriteString(w, "done")
		})
		results := make(chan callResult, 1)
		go func() { results <- fx.send(http.MethodGet, "/x", nil) }()
		<-started
		drained := make(chan error, 1)
		go func() { drained <- fx.upstreamNode.Drain(context.Background()) }()
		for probe := (&watchdog{}); fx.upstreamNode.drain.begin(probe, unknownEnd); {
			fx.upstreamNode.drain.end(probe)
			time.Sleep(time.Millisecond)
		}
		is.Equal(fx.send(http.MethodGet, "/x", nil).reason, "draining")
		select {
		case <-drained:
			t.Fatal("drained with a call in flight")
		default:
		}
		close(proceed)
		is.Equal((<-results).body, "done")
		is.NoErr(<-drained)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		fx.entry.Grace = time.Hour
		is.True(fx.entry.Drain(ctx) != nil)
	})
}

// Guards against a connection that is closed while a request on it is in
// transit: after Grace, callers must still be served, on connections that are
// then closed.
func TestLinger(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		fx := newFixture(t, local, reply("done"))
		fx.entry.Linger = time.Minute
		is.Equal(fx.send(http.MethodGet, "/x", nil).body, "done") // the connection stays open
		drained := make(chan error, 1)
		go func() { drained <- fx.entry.Drain(context.Background()) }()
		for !fx.entry.drain.isLingering() {
			time.Sleep(time.Millisecond)
		}
		response, err := fx.callerServer.Client().Get(fx.callerServer.URL + "/x")
		is.NoErr(err)
		data, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(data), "done")
		is.True(response.Close)
		if local {
			is.True(!fx.entry.drain.beginPeer(&watchdog{}, unknownEnd))
		}
		is.NoErr(<-drained) // as soon as callers are quiet, long before Linger ends
		is.Equal(fx.send(http.MethodGet, "/x", nil).reason, "draining")
	})
}

// Guards the decoder of streams from peers: arbitrary bytes must end the call
// without a panic or a hang, and must not execute a call twice.
func FuzzServeCall(f *testing.F) {
	var seed strings.Builder
	for _, frame := range []*Frame{
		{Kind: &Frame_Head{Head: &Head{Id: "a/1", Method: "POST", Target: []byte("/x"), Length: -1}}},
		{Kind: &Frame_Chunk{Chunk: []byte("abc")}},
		{Kind: &Frame_End{End: &End{Complete: true}}},
	} {
		_, _ = encoder.Write(&seed, frame)
	}
	f.Add([]byte(seed.String()))
	f.Add([]byte{0, 0, 0, 2, 10, 0})
	f.Add([]byte{255, 255, 255, 255})
	fx := newFixture(f, false, reply("ok"))
	var claimed atomic.Int64
	begin := fx.upstreamNode.Begin
	fx.upstreamNode.Begin = func(now time.Time, claim Claim) sycamorerun.Decision {
		decision := begin(now, claim)
		if decision.Verdict == sycamorerun.VerdictRun {
			claimed.Add(1)
		}
		return decision
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = client.Write(data)
			_ = client.Close()
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		fx.upstreamNode.ServeCall(t.Context(), server)
		// A canceled request may reach the upstream after its stream has ended.
		if executed, claims := fx.executed.Load(), claimed.Load(); executed > claims {
			t.Fatalf("%d requests ran, %d were claimed", executed, claims)
		}
	})
}

// shrinker is a stream that counts how often its receive buffer is freed.
type shrinker struct {
	net.Conn
	shrunk int
}

func (s *shrinker) Shrink() { s.shrunk++ }

// Guards against idle streams that keep large receive buffers, and against small
// calls that each allocate a new one.
func TestShrinkAfterLargeCalls(t *testing.T) {
	for name, test := range map[string]struct{ size, want int }{
		"small": {maxIdleBufferBytes / 2, 0},
		"large": {maxIdleBufferBytes, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := net.Pipe()
			conn := &shrinker{Conn: client}
			s := &frameStream{conn: conn}
			go func() { _ = (&frameStream{conn: server}).sendChunk(make([]byte, test.size)) }()
			_, err := s.receive()
			is.NoErr(err)
			s.shrink()
			s.shrink()
			is.Equal(conn.shrunk, test.want)
		})
	}
}
