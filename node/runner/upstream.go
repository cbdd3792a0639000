package runner

import (
	"net/http"
	"net/netip"
	"sync"

	"sycamorerun"
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

// errNoUpstream means that no upstream has announced itself to this node.
var errNoUpstream = &requester.Failure{Ran: requester.No, Reason: requester.ReasonUnreachable}

// localUpstream is the upstream beside this node: its last announcement, the
// transport to it and the limits that apply to it.
type localUpstream struct {
	mutex        sync.Mutex
	announcement manager.Announcement
	limits       limiter.Limits
	transport    *requester.Requester
}

// RoundTrip implements http.RoundTripper with the current transport.
func (u *localUpstream) RoundTrip(request *http.Request) (*http.Response, error) {
	u.mutex.Lock()
	transport := u.transport
	u.mutex.Unlock()
	if transport == nil {
		return nil, errNoUpstream
	}
	return transport.RoundTrip(request)
}

// update takes an announcement and the service's settings, and returns the
// limits in force.
func (u *localUpstream) update(announcement manager.Announcement, service sycamorerun.Service, known bool) limiter.Limits {
	limits := limiter.Limits{Slots: announcement.Slots, Queue: defaultQueue, Connections: defaultConnections}
	if known {
		limits = limiter.Limits{Slots: min(service.Slots, announcement.Slots), Queue: service.Queue, Connections: service.Connections}
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.transport == nil || u.announcement.Address != announcement.Address || u.limits.Connections != limits.Connections {
		if u.transport != nil {
			// Requests in flight keep their connections; idle ones go.
			defer u.transport.Close()
		}
		u.transport = forwarder.Transport(announcement.Address, limits.Connections, forwarder.DefaultContract)
	}
	u.announcement, u.limits = announcement, limits
	return limits
}

// service returns the announced service, empty before the first announcement.
func (u *localUpstream) service() (manager.Announcement, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.announcement, u.announcement.Service != ""
}

// id returns the id of the upstream, empty before the first announcement.
func (u *localUpstream) id() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.announcement.ID
}

// callerServer returns the HTTP server for callers, over HTTP/1.1 or HTTP/2
// without TLS.
func callerServer(address netip.AddrPort, server *http.Server, wrap func(http.Handler) http.Handler) *http.Server {
	server.Addr = address.String()
	server.Handler = wrap(server.Handler)
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}
