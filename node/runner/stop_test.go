package runner

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/forwarder"
	"sycamorerun/node/manager"
)

// Guards against a stop that takes longer than the supervisor waits if peers and the
// store don't answer and a call hangs, and against a stop that refuses callers while
// the fleet still sends calls to this node.
func TestStopInTime(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		hangs            bool
		minTime, maxTime time.Duration
	}{
		// The supervisor kills the node after 6 s.
		"a call hangs": {true, 4500 * time.Millisecond, 5500 * time.Millisecond},
		"no calls":     {false, 1500 * time.Millisecond, 3500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, but nothing answers
			is.NoErr(err)
			defer silent.Close()
			release := make(chan struct{})
			upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/hangs" {
					<-release
				}
			}))
			defer upstream.Close()
			defer close(release)
			n := readyNode(t, func(s *Settings) {
				address := netip.MustParseAddrPort(silent.Addr().String())
				s.Store, s.Seeds, s.StartWait, s.Keys = address, []netip.AddrPort{address}, time.Minute, true
				s.DrainDelay, s.DrainTimeout = 1500*time.Millisecond, 3*time.Second
			})
			n.calls.forwarder.Match = func(*http.Request) (forwarder.Match, bool) {
				return forwarder.Match{Service: "s", Timeout: time.Minute, Idle: time.Minute}, true
			}
			n.calls.forwarder.Pick = func(time.Time, forwarder.Query) (sycamorerun.Instance, bool) { return n.self, true }
			is.NoErr(n.announce(manager.Announcement{
				Service: "s", Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()), State: sycamorerun.StateReady, Slots: 6,
			}))
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			ended := make(chan error, 1)
			go func() { ended <- n.run(ctx) }()
			get := func(path string) error {
				response, err := http.Get("http://" + n.settings.Callers.String() + path)
				if err == nil {
					_ = response.Body.Close()
				}
				return err
			}
			for get("/") != nil {
				time.Sleep(10 * time.Millisecond)
			}
			if c.hangs {
				go func() { _ = get("/hangs") }()
				for n.calls.limiter.Load().Running == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			start := time.Now()
			stop()
			for n.api().Ready() {
				is.True(time.Since(start) < time.Second)
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Second)
			is.NoErr(get("/")) // within the drain delay
			is.NoErr(<-ended)
			took := time.Since(start)
			t.Log("stop took", took)
			is.True(took >= c.minTime)
			is.True(took <= c.maxTime)
		})
	}
}
