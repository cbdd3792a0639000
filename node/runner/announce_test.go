package runner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/encoder"
	"sycamorerun/node/announcer"
	"sycamorerun/node/forwarder"
	"sycamorerun/node/manager"
	"sycamorerun/node/recorder"
	"sycamorerun/node/tracker"
	"sycamorerun/persister"
)

// readyNode returns a node that is in the ready phase but not running.
func readyNode(t *testing.T, changes ...func(*Settings)) *node {
	t.Helper()
	settings := Settings{
		Name: "n", AvailabilityZone: "z", Region: "r", Callers: freeAddress(t), Peers: freeAddress(t), Operators: freeAddress(t), Store: freeAddress(t),
		Insecure: true, Mode: "tree", KeyWindow: time.Minute, AnnouncePeriod: 1500 * time.Millisecond,
	}
	for _, change := range changes {
		change(&settings)
	}
	n, err := newNode(time.Now(), New(settings, io.Discard), log.NewNopLogger(), tally.NoopScope, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	n.phase.Store(manager.PhaseReady)
	return n
}

func (n *node) state() sycamorerun.State { return n.tracker.Live(time.Now())[0].State }

// Guards against requests that start at the upstream after its departure was
// confirmed, and against a departure that interrupts running requests.
func TestConfirmedDeparture(t *testing.T) {
	ready := func(boot int64) manager.Announcement {
		return manager.Announcement{ID: "a", Service: "s", State: sycamorerun.StateReady, Slots: 2, Sequence: 1, Boot: boot}
	}
	cases := map[string]struct {
		depart func(api API, announcement manager.Announcement)
		state  sycamorerun.State
	}{
		"deleted": {func(api API, in manager.Announcement) { api.Leave(time.Now(), in.ID) }, sycamorerun.StateNone},
		"drains": {func(api API, in manager.Announcement) {
			in.Sequence, in.State = 2, sycamorerun.StateDraining
			api.Announce(time.Now(), in)
		}, sycamorerun.StateDraining},
		"service replaced": {func(api API, in manager.Announcement) {
			in.ID, in.Service, in.Boot = "b", "t", in.Boot+1
			api.Announce(time.Now(), in)
		}, sycamorerun.StateReady},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			started, proceed := make(chan struct{}), make(chan struct{})
			upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				requests.Add(1)
				close(started)
				<-proceed
			}))
			defer upstream.Close()
			n := readyNode(t)
			announcement := ready(5)
			announcement.Address = netip.MustParseAddrPort(upstream.Listener.Addr().String())
			is.Equal(n.api().Announce(time.Now(), announcement), announcer.Accepted)
			is.Equal(n.state(), sycamorerun.StateReady)

			ctx := forwarder.WithService(t.Context(), "s")
			acquire := func() string {
				_, rejection := n.calls.forwarder.Acquire(ctx, time.Now(), forwarder.SlotRequest{Rank: 1})
				return rejection.Reason
			}
			send := func() error {
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, upstream.URL, nil)
				is.NoErr(err)
				response, err := n.calls.upstream.RoundTrip(request)
				if err == nil {
					_ = response.Body.Close()
				}
				return err
			}
			is.Equal(acquire(), "") // the running request
			running := make(chan error, 1)
			go func() { running <- send() }()
			<-started
			is.Equal(acquire(), "") // admitted, but not sent before the departure
			waiting := make(chan string, 1)
			go func() { waiting <- acquire() }()
			for n.calls.limiter.Load().Queued == 0 {
				time.Sleep(time.Millisecond)
			}

			c.depart(n.api(), announcement)
			select {
			case reason := <-waiting:
				is.Equal(reason, "draining")
			case <-time.After(5 * time.Second):
				t.Fatal("a waiting call was not refused")
			}
			is.Equal(acquire(), "draining")
			is.True(errors.Is(send(), forwarder.ErrDraining))
			is.Equal(n.state(), c.state)
			announcement.Sequence = 3
			is.True(n.api().Announce(time.Now(), announcement) != announcer.Accepted) // a late announcement
			is.Equal(acquire(), "draining")
			close(proceed)
			is.NoErr(<-running)
			is.Equal(requests.Load(), int64(1))
		})
	}
}

// Guards against calls to an address at which nothing or another instance listens,
// until the announcement expires, and against an upstream that stays in use after its
// announcement has expired.
func TestUnavailable(t *testing.T) {
	cases := map[string]func(t *testing.T) netip.AddrPort{
		"refused": freeAddress,
		"silent":  freeAddress,
		"misdirected": func(t *testing.T) netip.AddrPort {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusMisdirectedRequest)
			}))
			t.Cleanup(server.Close)
			return netip.MustParseAddrPort(server.Listener.Addr().String())
		},
	}
	for name, address := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := readyNode(t)
			n.calls.forwarder.Contract.Target, n.calls.forwarder.Contract.Unexecuted = "X-Target", "X-Unexecuted"
			in := manager.Announcement{ID: "a", Service: "s", Address: address(t), State: sycamorerun.StateReady, Slots: 2, Sequence: 1, Boot: 5}
			is.Equal(n.processAnnouncement(time.Now(), in), announcer.Accepted)
			for range 2 {
				if name == "silent" {
					expired := time.Now().Add(3 * n.settings.AnnouncePeriod)
					n.calls.upstream.announcer.Expire(expired)
					n.refreshUpstream(expired)
					break
				}
				request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://upstream/", nil)
				is.NoErr(err)
				request.Header.Set("X-Target", "a")
				if response, err := n.calls.upstream.RoundTrip(request); err == nil {
					_ = response.Body.Close()
				}
			}
			is.Equal(n.state(), sycamorerun.StateNone)
			is.True(!n.calls.upstream.admits("s"))
			in.Sequence = 2
			is.Equal(n.processAnnouncement(time.Now(), in), announcer.Accepted)
			is.Equal(n.state(), sycamorerun.StateReady)
			is.True(n.calls.upstream.admits("s"))
		})
	}
}

// Guards against rejected announcements that operators can't notice, and against a
// log line for each of them.
func TestRejectedAnnouncementsAreLogged(t *testing.T) {
	is := is.New(t)
	n := readyNode(t)
	var logs strings.Builder
	n.logger = log.NewLogfmtLogger(&logs)
	lines := func() int { return strings.Count(logs.String(), "level=warn") }
	now := time.Now()
	api := n.api()
	api.Reject(now, strings.Repeat("i", 1000), errors.New(strings.Repeat("e", 1000)))
	is.Equal(lines(), 1)
	is.True(len(logs.String()) < 2*maxLoggedBytes+200)
	for i := range 50 {
		is.Equal(api.Announce(now.Add(time.Duration(i)*time.Second), manager.Announcement{ID: "a", Service: "s"}), announcer.Invalid)
	}
	is.Equal(lines(), 1)
	api.Announce(now.Add(rejectionLogInterval), manager.Announcement{ID: "a", Service: "s"})
	is.Equal(lines(), 2)
	is.True(strings.Contains(logs.String(), "upstream=a"))
	is.True(strings.Contains(logs.String(), "rejected=51"))
}

// Guards against another writer that takes the upstream out of use, for good, by
// announcing a service or an address that isn't the upstream's, before or after the
// upstream's first announcement.
func TestAnnouncementOfAnotherWriter(t *testing.T) {
	own := manager.Announcement{
		ID: "a", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9"), State: sycamorerun.StateReady,
		Slots: 2, Sequence: 1, Boot: 5,
	}
	cases := map[string]func(in *manager.Announcement){
		"unknown service":  func(in *manager.Announcement) { in.Service = "nobody" },
		"other service":    func(in *manager.Announcement) { in.Service = "t" },
		"other address":    func(in *manager.Announcement) { in.Address = netip.MustParseAddrPort("127.0.0.2:9") },
		"other port":       func(in *manager.Announcement) { in.Address = netip.MustParseAddrPort("127.0.0.1:10") },
		"own id":           func(in *manager.Announcement) { in.ID, in.Service = "a", "nobody" },
		"drains elsewhere": func(in *manager.Announcement) { in.Service, in.State = "nobody", sycamorerun.StateDraining },
	}
	for name, change := range cases {
		for _, first := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s first %t", name, first), func(t *testing.T) {
				is := is.New(t)
				n := readyNode(t, func(s *Settings) { s.Service, s.Upstream = own.Service, own.Address })
				odd := own
				odd.ID, odd.Boot = "other", 6
				change(&odd)
				sequence := own
				if !first {
					is.Equal(n.api().Announce(time.Now(), sequence), announcer.Accepted)
				}
				is.Equal(n.api().Announce(time.Now(), odd), announcer.Invalid)
				sequence.Sequence = 2
				is.Equal(n.api().Announce(time.Now(), sequence), announcer.Accepted)
				is.True(n.calls.upstream.admits("s"))
				is.Equal(n.calls.upstream.id(), "a")
			})
		}
	}
	is := is.New(t)
	n := readyNode(t, func(s *Settings) { s.Service = "s" })
	odd := own
	odd.ID, odd.Service = "", "t"
	is.True(n.announce(odd) != nil) // through the operators' API
	odd.Service = "s"
	is.NoErr(n.announce(odd))
}

// Guards against a departure that is not confirmed because a peer reads nothing.
func TestDepartureBesideSilentPeer(t *testing.T) {
	is := is.New(t)
	n := readyNode(t)
	stored := make(chan struct{}, 1)
	n.recorder = recorder.New(n.settings.Name, persister.Store{
		Get: func(context.Context, string) (persister.Object, error) {
			return persister.Object{}, persister.ErrMissing
		},
		Put: func(context.Context, string, []byte, persister.Revision) (persister.Revision, error) {
			stored <- struct{}{}
			return 1, nil
		},
	})
	n.recorder.Departures, n.recorder.Restore = n.calls.upstream.announcer.Departures, n.restoreDepartures
	n.recorder.Logger, n.recorder.Scope = n.logger, n.scope
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = n.tracker.Run(ctx) }()
	silent, conn := net.Pipe()
	defer silent.Close()
	go n.tracker.Serve(ctx, "peer", conn)
	for linked := false; !linked; time.Sleep(time.Millisecond) {
		_, err := encoder.Write(silent, &tracker.Frame{From: "peer", Heartbeat: &tracker.Heartbeat{}})
		is.NoErr(err)
		_, err = encoder.Read[tracker.Frame](silent, 1<<20)
		linked = err == nil
	}
	in := manager.Announcement{
		ID: "a", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9"), State: sycamorerun.StateReady, Slots: 2, Sequence: 1, Boot: 5,
	}
	is.Equal(n.api().Announce(time.Now(), in), announcer.Accepted)
	started := time.Now()
	is.Equal(n.api().Leave(started, "a"), announcer.Accepted)
	is.True(time.Since(started) < saveTimeout)
	<-stored
}
