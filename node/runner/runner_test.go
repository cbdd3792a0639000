package runner

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/loader"
	"sycamorerun/node/manager"
)

// The ports of free addresses are below those that the kernel gives to outgoing
// connections and to listeners without a port, which could take one before the test
// listens on it.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// usedPorts holds the ports that freeAddress has returned.
var usedPorts sync.Map

// freeAddress returns a loopback address on which nothing listens. Each call returns
// another one.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for range 100 {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// Guards against a node that hangs instead of returning an error if one of its
// addresses is in use.
func TestAddressInUse(t *testing.T) {
	cases := map[string]func(*Settings, netip.AddrPort){
		"callers":   func(s *Settings, used netip.AddrPort) { s.Callers = used },
		"peers":     func(s *Settings, used netip.AddrPort) { s.Peers = used },
		"operators": func(s *Settings, used netip.AddrPort) { s.Operators = used },
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			settings := Settings{
				Name: "n", AvailabilityZone: "z", Region: "r", Callers: freeAddress(t), Peers: freeAddress(t), Operators: freeAddress(t),
				Store: freeAddress(t), Insecure: true, Mode: "tree", StartWait: time.Minute, KeyWindow: time.Minute,
				AnnouncePeriod: time.Second, LogLevel: "error",
			}
			set(&settings, listener.Addr().(*net.TCPAddr).AddrPort())
			ended := make(chan error, 1)
			go func() { ended <- New(settings, &bytes.Buffer{}).Run(t.Context()) }()
			select {
			case err := <-ended:
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), "address already in use"))
			case <-time.After(20 * time.Second):
				t.Fatal("node did not end within 20 s although an address is in use")
			}
		})
	}
}

// Guards against a node that starts with invalid or contradictory settings.
func TestSettingsFaults(t *testing.T) {
	base := []string{"--name=n", "--availability-zone=z", "--region=r"}
	cases := map[string]struct {
		args   []string
		faulty string
	}{
		"insecure":              {[]string{"--insecure-peers"}, ""},
		"neither TLS nor not":   {nil, "tls-ca"},
		"TLS in part":           {[]string{"--tls-ca=x"}, "tls-ca"},
		"TLS and insecure":      {[]string{"--insecure-peers", "--tls-ca=x"}, "insecure-peers"},
		"unspecified peers":     {[]string{"--insecure-peers", "--peers=0.0.0.0:7060"}, "peers"},
		"one address twice":     {[]string{"--insecure-peers", "--callers=127.0.0.1:7070"}, "callers"},
		"bad hash":              {[]string{"--insecure-peers", "--admin-hash=sha256:12"}, "admin-hash"},
		"unknown mode":          {[]string{"--insecure-peers", "--mode=star"}, "mode"},
		"delay without unit":    {[]string{"--insecure-peers", "--standby-delay=5"}, "standby-delay"},
		"delay out of bounds":   {[]string{"--insecure-peers", "--standby-delay=1h"}, "standby-delay"},
		"seed without a port":   {[]string{"--insecure-peers", "--seeds=127.0.0.1"}, "seeds"},
		"negative body limit":   {[]string{"--insecure-peers", "--max-body=-1"}, "max-body"},
		"store by name":         {[]string{"--insecure-peers", "--store=store:7000"}, "store"},
		"zone with upper case":  {[]string{"--insecure-peers", "--availability-zone=Z"}, "availability-zone"},
		"ratio above one":       {[]string{"--insecure-peers", "--retry-ratio=1.5"}, "retry-ratio"},
		"ratio is no number":    {[]string{"--insecure-peers", "--retry-ratio=NaN"}, "retry-ratio"},
		"retries":               {[]string{"--insecure-peers", "--retry-ratio=0.2", "--retry-window=10s", "--retry-slack=64"}, ""},
		"second listen address": {[]string{"--insecure-peers", "--listen-peers=0.0.0.0:7060"}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var settings Settings
			l := loader.New("srnode")
			settings.Register(l)
			faults, err := l.Load(append(base, c.args...), func(string) (string, bool) { return "", false }, &bytes.Buffer{})
			is.NoErr(err)
			if c.faulty == "" {
				is.Equal(len(faults), 0)
				return
			}
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Name, c.faulty)
		})
	}
}

// Guards against other nodes that keep sending calls to a leaving upstream because its
// record does not have the draining state, or loses it when the upstream announces
// itself again.
func TestDrainStates(t *testing.T) {
	is := is.New(t)
	const delay = time.Second
	n := readyNode(t, func(s *Settings) { s.DrainDelay, s.StopTimeout = delay, 11*time.Second })
	ready := manager.Announcement{Service: "s", Address: freeAddress(t), State: sycamorerun.StateReady, Slots: 1}
	state := func() sycamorerun.State {
		if live := n.tracker.Live(time.Now()); len(live) > 0 {
			return live[0].State
		}
		return sycamorerun.StateLeft
	}
	is.NoErr(n.announce(ready))
	n.publisher.waitPublished() // the upstream serves after its keys are taken over
	is.Equal(state(), sycamorerun.StateReady)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		n.drain(&http.Server{})
	}()
	for start := time.Now(); state() == sycamorerun.StateReady && time.Since(start) < delay/2; {
		time.Sleep(time.Millisecond)
	}
	is.Equal(state(), sycamorerun.StateDraining)
	is.NoErr(n.announce(ready))
	n.publisher.waitPublished()
	is.Equal(state(), sycamorerun.StateDraining)
	<-drained
	is.Equal(state(), sycamorerun.StateLeft)
	is.NoErr(n.announce(ready))
	n.publisher.waitPublished()
	is.Equal(state(), sycamorerun.StateLeft)
}

// Guards against a node that is stopped before it has a version and answers that there
// is no route, which a caller treats as final.
func TestStoppedBeforeReady(t *testing.T) {
	is := is.New(t)
	n := readyNode(t, func(s *Settings) { s.DrainDelay, s.StopTimeout = time.Millisecond, stopMargin+2*time.Millisecond })
	n.phase.Store(manager.PhaseStarting)
	status := func() int {
		recorder := httptest.NewRecorder()
		n.ready(n.calls.forwarder).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h.example/a", nil))
		return recorder.Code
	}
	is.Equal(status(), http.StatusServiceUnavailable)
	n.drain(&http.Server{})
	is.Equal(n.phase.Load(), manager.PhaseDraining)
	is.Equal(status(), http.StatusServiceUnavailable)
}
