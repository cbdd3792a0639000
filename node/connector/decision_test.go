package connector

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// TestNextAction guards against closing a session that has streams, keeping a
// stalled session, and closing an idle session before the peer has been notified.
func TestNextAction(t *testing.T) {
	limits := Limits{}.withDefaults()
	cases := map[string]struct {
		condition condition
		want      action
	}{
		"busy":                         {condition{streams: 3}, keep},
		"silent for a second":          {condition{streams: 3, silence: time.Second}, ping},
		"stalled":                      {condition{streams: 3, silence: 3 * time.Second}, closeStalled},
		"stalled while closing":        {condition{silence: 3 * time.Second, sinceGoAway: time.Second}, closeStalled},
		"unused for a short time":      {condition{idle: 10 * time.Second}, keep},
		"unused":                       {condition{idle: time.Minute}, stopAccepting},
		"replaced with streams":        {condition{streams: 1, superseded: true}, keep},
		"replaced just now":            {condition{superseded: true}, keep},
		"replaced and unused":          {condition{superseded: true, idle: 5 * time.Second}, stopAccepting},
		"GoAway just sent":             {condition{idle: time.Minute, sinceGoAway: 1}, keep},
		"GoAway crossed a stream":      {condition{streams: 1, sinceGoAway: time.Minute}, keep},
		"GoAway sent, still no stream": {condition{idle: time.Minute, sinceGoAway: time.Second}, closeIdle},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(limits.nextAction(test.condition), test.want)
		})
	}
}

// TestPreferOlder guards against the two ends preferring different sessions after
// simultaneous dials, and against a dead session being preferred to its
// replacement.
func TestPreferOlder(t *testing.T) {
	at := func(name string, dialled bool, seconds float64) *session {
		return &session{peer: Peer{Name: name}, dialled: dialled, opened: time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))}
	}
	cases := map[string]struct {
		self         string
		older, newer *session
		want         bool
	}{
		"at once, lower name's dial is old":  {"a", at("b", true, 0), at("b", false, 0.1), true},
		"same, seen by the other end":        {"b", at("a", true, 0), at("a", false, 0.1), false},
		"at once, lower name's dial is new":  {"a", at("b", false, 0), at("b", true, 0.1), false},
		"same, the other end, other order":   {"b", at("a", false, 0), at("a", true, 0.1), true},
		"replaced by the same end":           {"a", at("b", true, 0), at("b", true, 0.1), false},
		"replaced by the other end":          {"a", at("b", true, 0), at("b", false, 3), false},
		"replaced by the other, seen by it":  {"b", at("a", false, 0), at("a", true, 3), false},
		"replaced by the higher name's dial": {"a", at("b", true, 0), at("b", false, 300), false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(preferOlder(test.older, test.newer, test.self, 3*time.Second), test.want)
		})
	}
}

// TestNextProbe guards against keeping a dead session with a waiting call, and
// against closing a session although the peer is slow or paused, this process was
// paused, or sent data is still in transit.
func TestNextProbe(t *testing.T) {
	const never = time.Hour
	limits, start := Limits{}.withDefaults(), time.Unix(1000, 0)
	// In each case the session is silent from start on. Checks run at the requested
	// times until the session is closed or 5 s have passed.
	cases := map[string]struct {
		// heard is the time when data arrives on the session, elsewhere the time
		// between opening a replacement and receiving data on it.
		heard, elsewhere time.Duration
		// paused is the duration of a pause of this process that starts at 400 ms.
		// acknowledged is the time until which the peer acknowledges sent data, ended
		// the time when the call ends.
		paused, acknowledged, ended time.Duration
		// closed is the expected time of closing, zero if the session stays open.
		closed time.Duration
	}{
		"dead":                             {heard: never, closed: 1300 * time.Millisecond},
		"dead, new session takes 300 ms":   {heard: never, elsewhere: 300 * time.Millisecond, closed: 1500 * time.Millisecond},
		"peer paused or host down":         {heard: never, elsewhere: never},
		"peer paused for 2 s":              {heard: 2 * time.Second, elsewhere: 1200 * time.Millisecond},
		"round trip of 600 ms":             {heard: 900 * time.Millisecond},
		"this process paused":              {heard: 2500 * time.Millisecond, paused: 2 * time.Second},
		"sends for 2 s, then dead":         {heard: never, acknowledged: 2 * time.Second, closed: 2900 * time.Millisecond},
		"call ended":                       {heard: never, ended: time.Second},
		"answer crosses the other session": {heard: 1250 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p probeState
			var opened time.Duration
			closed := time.Duration(0)
			for at := limits.CallPing; at < 5*time.Second; {
				if c.paused > 0 && at > 400*time.Millisecond && at < c.paused {
					at = 400*time.Millisecond + c.paused
				}
				o := observation{waiting: c.ended == 0 || at < c.ended, silence: at, silenceOnOthers: at, acknowledging: at < c.acknowledged}
				if at >= c.heard {
					o.silence = 0 // the peer responds from now on
				}
				if opened > 0 && at >= opened+c.elsewhere {
					o.silenceOnOthers = 0
				}
				var next probeAction
				var wait time.Duration
				p, next, wait = limits.nextProbe(start.Add(at), p, o)
				if next == stopProbing || next == closeSilent {
					if next == closeSilent {
						closed = at
					}
					break
				}
				if next == dialReplacement {
					opened = at
				}
				at += wait
			}
			is.Equal(closed.Round(10*time.Millisecond), c.closed)
		})
	}
}

// TestBackoff guards against dial delays that exceed the maximum, overflow or lack
// jitter.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	maxJitter := func(n int64) int64 { return n - 1 }
	is.Equal(backoff(1, maxJitter), minBackoff-1)
	is.Equal(backoff(2, maxJitter), 2*minBackoff-1)
	is.Equal(backoff(7, maxJitter), 6400*time.Millisecond-1)
	is.Equal(backoff(8, maxJitter), maxBackoff-1)
	is.Equal(backoff(1000, maxJitter), maxBackoff-1)
	is.Equal(backoff(3, func(int64) int64 { return 0 }), time.Duration(0))
}

// TestDialsAreShared guards against a separate dial for each waiting caller, and
// against dials without a delay to an unreachable peer.
func TestDialsAreShared(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := &Connector{Self: Peer{Name: "a"}, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Limits: Limits{Dial: time.Minute}}
	_, err = c.Bind()
	is.NoErr(err)
	defer c.listener.Close()
	to := netip.MustParseAddrPort(silent.Addr().String())
	first, err := c.startDial(time.Now(), to)
	is.NoErr(err)
	second, err := c.startDial(time.Now(), to)
	is.NoErr(err)
	is.Equal(first, second)
	// The accepted connection is closed before the hello.
	conn, err := silent.Accept()
	is.NoErr(err)
	is.NoErr(conn.Close())
	<-first.done
	is.True(first.err != nil)
	c.targets[to].retryAt = time.Now().Add(time.Hour)
	_, err = c.startDial(time.Now(), to)
	is.True(errors.Is(err, ErrBackoff))
	is.NoErr(silent.Close())
	third, err := c.startDial(time.Now().Add(2*time.Hour), to)
	is.NoErr(err)
	<-third.done
	is.Equal(c.targets[to].failures, 2)
}

// Close closes the sessions to the peer at an address and their streams. The next
// Open dials.
func (c *Connector) Close(to netip.AddrPort) {
	c.mu.Lock()
	list := append([]*session(nil), c.sessions[c.resolve(to)]...)
	c.mu.Unlock()
	for _, s := range list {
		c.closeSession(s, "requested")
	}
}

// FuzzHello guards against hellos that pass validation but don't survive a round
// trip through Peer.
func FuzzHello(f *testing.F) {
	valid, _ := proto.Marshal(Peer{
		Name: "a", Boot: 1, Address: netip.MustParseAddrPort("[::1]:1"), AvailabilityZone: "z", Region: "r",
	}.hello(1))
	f.Add(valid)
	f.Add([]byte{0x08, 0x01, 0x12, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		hello := &Hello{}
		if proto.Unmarshal(data, hello) != nil {
			return
		}
		peer, err := newPeer(hello)
		if err != nil {
			return
		}
		again, err := newPeer(peer.hello(1))
		if err != nil || again != peer || len(peer.Name) > maxNameBytes || !peer.Address.IsValid() {
			t.Fatalf("hello round trip: error %v, sent %v, got %v", err, peer, again)
		}
	})
}

// TestFrameCoalescer guards against truncated or reordered frames when a header is
// held back until its body is written.
func TestFrameCoalescer(t *testing.T) {
	header := func(kind, length byte) string { return string([]byte{0, kind, 0, 0, 0, 0, 0, 1, 0, 0, 0, length}) }
	long, full := strings.Repeat("l", maxCoalescedBytes+1), strings.Repeat("f", maxRecordBytes-frameHeaderBytes)
	cases := map[string]struct{ writes, want []string }{
		"data":                  {[]string{header(0, 3), "abc"}, []string{header(0, 3) + "abc"}},
		"data twice":            {[]string{header(0, 1), "a", header(0, 1), "b"}, []string{header(0, 1) + "a", header(0, 1) + "b"}},
		"long data":             {[]string{header(0, 9), long}, []string{header(0, 9) + long}},
		"full record":           {[]string{header(0, 9), full}, []string{header(0, 9) + full}},
		"two records":           {[]string{header(0, 9), full + long, header(0, 1), "a"}, []string{header(0, 9) + full, long, header(0, 1) + "a"}},
		"data without a body":   {[]string{header(0, 0)}, []string{header(0, 0)}},
		"ping":                  {[]string{header(2, 7)}, []string{header(2, 7)}},
		"body like a header":    {[]string{header(0, 12), header(0, 1)}, []string{header(0, 12) + header(0, 1)}},
		"header and body joint": {[]string{header(0, 3) + "abc"}, []string{header(0, 3) + "abc"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			recorder := &writeRecorder{}
			f := &frameCoalescer{Conn: recorder}
			for _, data := range test.writes {
				n, err := f.Write([]byte(data))
				is.NoErr(err)
				is.Equal(n, len(data))
			}
			is.Equal(recorder.writes, test.want)
		})
	}
}

// writeRecorder records the data of each Write.
type writeRecorder struct {
	net.Conn
	writes []string
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.writes = append(w.writes, string(p))
	return len(p), nil
}

// shrinkCounter stands for a yamux stream and counts the calls of Shrink.
type shrinkCounter struct {
	net.Conn
	calls int
}

func (s *shrinkCounter) Shrink() { s.calls++ }

// TestStreamShrinks guards against idle streams that keep the receive buffer of a
// large call because the wrapper hides yamux's Shrink method.
func TestStreamShrinks(t *testing.T) {
	is := is.New(t)
	inner := &shrinkCounter{}
	outer, ok := net.Conn(&Stream{Conn: inner}).(interface{ Shrink() })
	is.True(ok)
	outer.Shrink()
	is.Equal(inner.calls, 1)
}
