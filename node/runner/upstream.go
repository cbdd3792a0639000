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

// Defaults until the service's settings are known.
const (
	defaultQueue       = 12
	defaultConnections = 130
)

// localUpstream is the upstream beside this node: its announcement in force,
// the transport to it and the limits that apply to it.
type localUpstream struct {
	announcer *announcer.Announcer
	// contract names the headers that the upstream uses.
	contract func() forwarder.Contract
	// changed is called when the announcer may have dropped the upstream.
	changed func(now time.Time)

	mutex        sync.Mutex
	announcement manager.Announcement
	limits       limiter.Limits
	transport    *requester.Requester
	// open says that calls may start.
	open bool
}

// RoundTrip implements http.RoundTripper with the current transport. A request
// that entered the queue before the upstream left or was replaced is not sent.
func (u *localUpstream) RoundTrip(request *http.Request) (*http.Response, error) {
	service, target := forwarder.ServiceOf(request.Context()), request.Header.Get(u.contract().Target)
	u.mutex.Lock()
	transport, id := u.transport, u.announcement.ID
	open := u.admitsLocked(service) && (target == "" || target == id)
	u.mutex.Unlock()
	if !open {
		if request.Body != nil {
			_ = request.Body.Close()
		}
		return nil, forwarder.ErrDraining
	}
	response, err := transport.RoundTrip(request)
	u.observe(transport, id, err)
	return response, err
}

// observe tells the announcer what a request says about the upstream.
func (u *localUpstream) observe(transport *requester.Requester, id string, err error) {
	u.mutex.Lock()
	replaced := u.transport != transport
	u.mutex.Unlock()
	now := time.Now()
	var failed *requester.Failure
	switch {
	case replaced:
		return
	case errors.Is(err, syscall.ECONNREFUSED):
		u.announcer.ConnectionRefused(now)
	case errors.As(err, &failed) && failed.Reason == requester.ReasonMisdirected:
		u.announcer.Misdirected(now, id)
	case err == nil:
		u.announcer.ConnectionSucceeded()
		return
	default:
		return
	}
	u.changed(now)
}

// admits reports whether a call to service may enter the queue.
func (u *localUpstream) admits(service string) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.admitsLocked(service)
}

func (u *localUpstream) admitsLocked(service string) bool {
	return u.open && (service == "" || service == u.announcement.Service)
}

// update takes an announcement and the service's settings, lets calls start,
// and returns the limits in force and whether the upstream is another one than
// before.
func (u *localUpstream) update(announcement manager.Announcement, service sycamorerun.Service, known bool) (limits limiter.Limits, replaced bool) {
	limits = limiter.Limits{Slots: announcement.Slots, Queue: defaultQueue, Connections: defaultConnections}
	if known {
		limits = limiter.Limits{Slots: min(service.Slots, announcement.Slots), Queue: service.Queue, Connections: service.Connections}
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	old := u.announcement
	moved := old.ID != announcement.ID || old.Boot != announcement.Boot || old.Address != announcement.Address
	if u.transport == nil || moved || u.limits.Connections != limits.Connections {
		if u.transport != nil {
			// Requests in flight keep their connections; idle ones go.
			defer u.transport.Close()
		}
		u.transport = forwarder.Transport(announcement.Address, limits.Connections, u.contract())
	}
	u.announcement, u.limits, u.open = announcement, limits, true
	return limits, old.Service != "" && old.Service != announcement.Service
}

// close lets no further call start.
func (u *localUpstream) close() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.open = false
}

// service returns the announcement in force last, with no service before the
// first one.
func (u *localUpstream) service() (manager.Announcement, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.announcement, u.announcement.Service != ""
}

// id returns the id of the upstream instance.
func (u *localUpstream) id() string {
	announcement, _ := u.service()
	return announcement.ID
}

// callerServer returns the HTTP server for callers, over HTTP/1.1 or HTTP/2
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
