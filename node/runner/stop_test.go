package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

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
				s.DrainDelay, s.StopTimeout = 1500*time.Millisecond, 4500*time.Millisecond+stopMargin
			})
			n.calls.forwarder.Match = func(*http.Request) (forwarder.Match, bool) {
				return forwarder.Match{Service: "s", Timeout: time.Minute, Idle: time.Minute}, true
			}
			n.calls.forwarder.Pick = func(time.Time, forwarder.Query) (sycamorerun.Instance, bool) { return n.self, true }
			is.NoErr(n.announce(manager.Announcement{
				Service: "s", Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()), State: sycamorerun.StateReady, Slots: 6,
			}))
			get := func(path string) error {
				response, err := http.Get("http://" + n.settings.Callers.String() + path)
				if err == nil {
					_ = response.Body.Close()
				}
				return err
			}
			stop, ended := startServing(n, get)
			defer stop()
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

// startServing runs n until the returned function is called, and waits until n serves
// callers. The channel receives the result of the run.
func startServing(n *node, get func(path string) error) (stop context.CancelFunc, ended <-chan error) {
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- n.run(ctx) }()
	for get("/") != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return stop, result
}

// Guards against a stop that takes a call which it then cuts: at every moment of a
// stop, calls with a near and with a far deadline must be answered by the upstream,
// or refused without having run.
func TestCallsDuringStop(t *testing.T) {
	t.Parallel()
	const (
		stopTimeout = 6 * time.Second
		shortRun    = 100 * time.Millisecond
		longRun     = 3 * time.Second
		interval    = 100 * time.Millisecond
	)
	is := is.New(t)
	var mutex sync.Mutex
	executed := map[string]bool{}
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		executed[r.URL.Path] = true
		mutex.Unlock()
		if strings.HasPrefix(r.URL.Path, "/long") {
			time.Sleep(longRun)
		} else {
			time.Sleep(shortRun)
		}
	}))
	defer upstream.Close()
	n := readyNode(t, func(s *Settings) {
		s.DrainDelay, s.StopTimeout, s.AnnouncePeriod = time.Minute, stopTimeout, time.Minute
	})
	n.calls.forwarder.Match = func(r *http.Request) (forwarder.Match, bool) {
		if strings.HasPrefix(r.URL.Path, "/long") {
			return forwarder.Match{Service: "s", Rank: 2, Timeout: 10 * time.Second, Idle: time.Minute}, true
		}
		return forwarder.Match{Service: "s", Rank: 1, Timeout: time.Second, Idle: time.Minute}, true
	}
	n.calls.forwarder.Pick = func(time.Time, forwarder.Query) (sycamorerun.Instance, bool) { return n.self, true }
	is.NoErr(n.announce(manager.Announcement{
		Service: "s", Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()), State: sycamorerun.StateReady, Slots: 100,
	}))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(path string) (*http.Response, error) {
		response, err := client.Get("http://" + n.settings.Callers.String() + path)
		if err == nil {
			_ = response.Body.Close()
		}
		return response, err
	}
	stop, ended := startServing(n, func(path string) error {
		_, err := get(path)
		return err
	})
	defer stop()
	var calls sync.WaitGroup
	for range 10 { // the node learns how long the calls take
		calls.Go(func() { _, _ = get("/long") })
		calls.Go(func() { _, _ = get("/short") })
	}
	calls.Wait()
	start := time.Now()
	stop()
	for i := 0; time.Since(start) < stopTimeout; i++ {
		for _, kind := range []string{"long", "short"} {
			calls.Go(func() {
				path, at := fmt.Sprintf("/%s/%d", kind, i), time.Since(start)
				response, err := get(path)
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				mutex.Lock()
				ran := executed[path]
				mutex.Unlock()
				switch {
				case err != nil:
					t.Errorf("%s, sent after %s: executed %t, connection cut: %v", path, at, ran, err)
				case response.StatusCode == http.StatusServiceUnavailable:
					if ran || response.Header.Get("Retry-After") == "" || !response.Close {
						t.Errorf("%s, sent after %s: refused, executed %t, header %v", path, at, ran, response.Header)
					}
				case response.StatusCode != http.StatusOK:
					t.Errorf("%s, sent after %s: status %d", path, at, response.StatusCode)
				}
			})
		}
		time.Sleep(interval)
	}
	is.NoErr(<-ended)
	is.True(time.Since(start) <= stopTimeout+interval)
	calls.Wait()
	is.True(executed["/short/0"])
	is.True(executed["/long/0"])
}
