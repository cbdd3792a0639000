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

// Guards against sessions that are closed under streams, stalled ones that
// stay, and idle ones that close before the peer knows.
func TestNext(t *testing.T) {
	limits := Limits{}.withDefaults()
	cases := map[string]struct {
		condition condition
		want      action
	}{
		"busy":                         {condition{streams: 3}, keep},
		"silent for a second":          {condition{streams: 3, silence: time.Second}, ping},
		"stalled":                      {condition{streams: 3, silence: 3 * time.Second}, closeStalled},
		"stalled while closing":        {condition{silence: 3 * time.Second, away: time.Second}, closeStalled},
		"unused for a short time":      {condition{unused: 10 * time.Second}, keep},
		"unused":                       {condition{unused: time.Minute}, stopAccepting},
		"replaced with streams":        {condition{streams: 1, retired: true}, keep},
		"replaced just now":            {condition{retired: true}, keep},
		"replaced and unused":          {condition{retired: true, unused: 5 * time.Second}, stopAccepting},
		"GoAway just sent":             {condition{unused: time.Minute, away: 1}, keep},
		"GoAway crossed a stream":      {condition{streams: 1, away: time.Minute}, keep},
		"GoAway sent, still no stream": {condition{unused: time.Minute, away: time.Second}, closeIdle},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(limits.next(test.condition), test.want)
		})
	}
}

// Guards against ends that prefer different sessions after dialling at once,
// and against a dead session that is preferred to its replacement.
func TestPreferOld(t *testing.T) {
	at := func(name string, dialled bool, seconds float64) *session {
		return &session{peer: Peer{Name: name}, dialled: dialled, opened: time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))}
	}
	cases := map[string]struct {
		self       string
		old, fresh *session
		want       bool
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
			is.New(t).Equal(preferOld(test.old, test.fresh, test.self, 3*time.Second), test.want)
		})
	}
}

// Guards against a session with a waiting call that stays although it is dead,
// and against one that is closed although the peer is slow or paused, this
// process was, or what was sent is still on its way.
func TestFollow(t *testing.T) {
	const never = time.Hour
	limits, start := Limits{}.withDefaults(), time.Unix(1000, 0)
	// Each case is a silence from start on with a check whenever the last one
	// asked for it, until the session is closed or 5 s have passed.
	cases := map[string]struct {
		// heard, elsewhere are the times at which something arrives on the session
		// and on another one after that was opened.
		heard, elsewhere time.Duration
		// paused is the time for which this process stops after 400 ms.
		paused, acknowledged, ended time.Duration
		closed                      time.Duration
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
			var p probe
			var opened time.Duration
			closed := time.Duration(0)
			for at := limits.Await; at < 5*time.Second; {
				if c.paused > 0 && at > 400*time.Millisecond && at < c.paused {
					at = 400*time.Millisecond + c.paused
				}
				e := evidence{waiting: c.ended == 0 || at < c.ended, silence: at, elsewhere: at, acknowledged: at < c.acknowledged}
				if at >= c.heard {
					e.silence = 0 // it answers everything from then on
				}
				if opened > 0 && at >= opened+c.elsewhere {
					e.elsewhere = 0
				}
				var next move
				var wait time.Duration
				p, next, wait = limits.follow(start.Add(at), p, e)
				if next == rest || next == closeSilent {
					if next == closeSilent {
						closed = at
					}
					break
				}
				if next == openAnother {
					opened = at
				}
				at += wait
			}
			is.Equal(closed.Round(10*time.Millisecond), c.closed)
		})
	}
}

func TestBackoff(t *testing.T) {
	is := is.New(t)
	most := func(n int64) int64 { return n - 1 }
	is.Equal(backoff(1, most), backoffLeast-1)
	is.Equal(backoff(2, most), 2*backoffLeast-1)
	is.Equal(backoff(7, most), 6400*time.Millisecond-1)
	is.Equal(backoff(8, most), backoffMost-1)
	is.Equal(backoff(1000, most), backoffMost-1)
	is.Equal(backoff(3, func(int64) int64 { return 0 }), time.Duration(0))
}

// Guards against one dial per waiting caller and against dials without delay
// to a peer that fails.
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
	// The accepted connection breaks before the hello.
	conn, err := silent.Accept()
	is.NoErr(err)
	is.NoErr(conn.Close())
	<-first.done
	is.True(first.err != nil)
	c.targets[to].retry = time.Now().Add(time.Hour)
	_, err = c.startDial(time.Now(), to)
	is.True(errors.Is(err, ErrBackoff))
	is.NoErr(silent.Close())
	third, err := c.startDial(time.Now().Add(2*time.Hour), to)
	is.NoErr(err)
	<-third.done
	is.Equal(c.targets[to].failures, 2)
}

// Close closes the sessions to the peer at an address, with their streams.
// The next Open dials.
func (c *Connector) Close(to netip.AddrPort) {
	c.mu.Lock()
	list := append([]*session(nil), c.sessions[c.resolve(to)]...)
	c.mu.Unlock()
	for _, s := range list {
		c.closeSession(s, "requested")
	}
}

// Guards against hellos that pass the check but can't be represented.
func FuzzHello(f *testing.F) {
	valid, _ := proto.Marshal(Peer{
		Name: "a", Boot: 1, Address: netip.MustParseAddrPort("[::1]:1"), AvailabilityZone: "z", Region: "r",
	}.hello())
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
		again, err := newPeer(peer.hello())
		if err != nil || again != peer || len(peer.Name) > nameBytes || !peer.Address.IsValid() {
			t.Fatalf("%v: %v becomes %v", err, peer, again)
		}
	})
}

// Guards against frames that are cut or reordered when a header waits for its
// body.
func TestJoiner(t *testing.T) {
	header := func(kind, length byte) string { return string([]byte{0, kind, 0, 0, 0, 0, 0, 1, 0, 0, 0, length}) }
	long, full := strings.Repeat("l", joinedBytes+1), strings.Repeat("f", recordBytes-headerBytes)
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
			sink := &writes{}
			j := &joiner{Conn: sink}
			for _, data := range test.writes {
				n, err := j.Write([]byte(data))
				is.NoErr(err)
				is.Equal(n, len(data))
			}
			is.Equal(sink.data, test.want)
		})
	}
}

type writes struct {
	net.Conn
	data []string
}

func (w *writes) Write(p []byte) (int, error) {
	w.data = append(w.data, string(p))
	return len(p), nil
}

// shrinker is a yamux stream's part that frees its receive buffer.
type shrinker struct {
	net.Conn
	shrunk int
}

func (s *shrinker) Shrink() { s.shrunk++ }

// Guards against streams that wait for their next call with the receive
// buffer of a large one, because the wrapper hides yamux' Shrink.
func TestStreamShrinks(t *testing.T) {
	is := is.New(t)
	inner := &shrinker{}
	outer, ok := net.Conn(&stream{Conn: inner}).(interface{ Shrink() })
	is.True(ok)
	outer.Shrink()
	is.Equal(inner.shrunk, 1)
}
