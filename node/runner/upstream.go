package runner

import (
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/announcer"
	"sycamorerun/node/forwarder"
	"sycamorerun/node/limiter"
	"sycamorerun/node/manager"
	"sycamorerun/node/requester"
)

// Default limits until the settings of the service are known.
const (
	defaultQueue       = 12
	defaultConnections = 130
)

// localUpstream is the upstream beside this node: its current announcement, the
// transport to it and its limits.
type localUpstream struct {
	announcer *announcer.Announcer
	// contract returns the names of the headers that the upstream uses.
	contract func() forwarder.Contract
	// onChange is called when the announcer may have made the upstream unavailable.
	onChange func(now time.Time)

	mutex        sync.Mutex
	announcement manager.Announcement
	limits       limiter.Limits
	transport    *requester.Requester
	// accepting is set while calls may start.
	accepting bool
}

// RoundTrip implements http.RoundTripper with the current transport. It returns
// forwarder.ErrDraining for a request that was queued before the upstream left or was
// replaced.
func (u *localUpstream) RoundTrip(request *http.Request) (*http.Response, error) {
	service, target := forwarder.ServiceOf(request.Context()), request.Header.Get(u.contract().Target)
	u.mutex.Lock()
	transport, id := u.transport, u.announcement.ID
	accepted := u.admitsLocked(service) && (target == "" || target == id)
	u.mutex.Unlock()
	if !accepted {
		if request.Body != nil {
			_ = request.Body.Close()
		}
		return nil, forwarder.ErrDraining
	}
	response, err := transport.RoundTrip(request)
	u.observe(transport, id, err)
	return response, err
}

// observe reports to the announcer what the result of a request implies about the
// upstream.
func (u *localUpstream) observe(transport *requester.Requester, id string, err error) {
	u.mutex.Lock()
	replaced := u.transport != transport
	u.mutex.Unlock()
	now := time.Now()
	var failure *requester.Failure
	switch {
	case replaced:
		return
	case errors.Is(err, syscall.ECONNREFUSED):
		u.announcer.ConnectionRefused(now)
	case errors.As(err, &failure) && failure.Reason == requester.ReasonMisdirected:
		u.announcer.Misdirected(now, id)
	case err == nil:
		u.announcer.ConnectionSucceeded()
		return
	default:
		return
	}
	u.onChange(now)
}

// admits reports whether a call to service may be queued.
func (u *localUpstream) admits(service string) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.admitsLocked(service)
}

func (u *localUpstream) admitsLocked(service string) bool {
	return u.accepting && (service == "" || service == u.announcement.Service)
}

// update applies an announcement and the settings of its service, and lets calls
// start. It returns the limits, and whether the upstream replaced one of another
// service.
func (u *localUpstream) update(announcement manager.Announcement, service sycamorerun.Service, known bool) (limits limiter.Limits, replaced bool) {
	limits = limiter.Limits{Slots: announcement.Slots, Queue: defaultQueue, Connections: defaultConnections}
	if known {
		limits = limiter.Limits{Slots: min(service.Slots, announcement.Slots), Queue: service.Queue, Connections: service.Connections}
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	old := u.announcement
	changed := old.ID != announcement.ID || old.Boot != announcement.Boot || old.Address != announcement.Address
	if u.transport == nil || changed || u.limits.Connections != limits.Connections {
		if u.transport != nil {
			// Only idle connections are closed. Requests in flight keep theirs.
			defer u.transport.Close()
		}
		u.transport = forwarder.Transport(announcement.Address, limits.Connections, u.contract())
	}
	u.announcement, u.limits, u.accepting = announcement, limits, true
	return limits, old.Service != "" && old.Service != announcement.Service
}

// close prevents further calls from starting.
func (u *localUpstream) close() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.accepting = false
}

// lastAnnouncement returns the last announcement that was applied, and whether there
// has been one.
func (u *localUpstream) lastAnnouncement() (manager.Announcement, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.announcement, u.announcement.Service != ""
}

// id returns the id of the upstream instance, or an empty string before the first
// announcement.
func (u *localUpstream) id() string {
	announcement, _ := u.lastAnnouncement()
	return announcement.ID
}

// callerServer returns the HTTP server for callers. It serves HTTP/1.1 and HTTP/2
// without TLS.
func callerServer(address netip.AddrPort, c *calls, wrap func(http.Handler) http.Handler) *http.Server {
	server := c.forwarder.Server()
	server.Addr = address.String()
	server.Handler = wrap(server.Handler)
	c.listener.Configure(server)
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}
