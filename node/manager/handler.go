package manager

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/go-kit/log/level"
	goahttp "goa.design/goa/v3/http"

	"sycamorerun/api/gen/fleet"
	fleetserver "sycamorerun/api/gen/http/fleet/server"
	settingsserver "sycamorerun/api/gen/http/settings/server"
	upstreamserver "sycamorerun/api/gen/http/upstream/server"
	"sycamorerun/api/gen/settings"
	"sycamorerun/api/gen/upstream"
)

// maxBodyBytes bounds the body of a request to the API. A settings file is at most
// 4 MiB, and JSON escapes can double its size.
const maxBodyBytes = 9 << 20

// Handler returns the HTTP handler for the operators' address.
func (m *Manager) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	settingsHandlers := settingsserver.New(settings.NewEndpoints(&settingsService{m}), mux, decoder, encoder, m.logWriteError, nil)
	fleetHandlers := fleetserver.New(fleet.NewEndpoints(&fleetService{m}), mux, decoder, encoder, m.logWriteError, nil)
	upstreamHandlers := upstreamserver.New(upstream.NewEndpoints(&upstreamService{m}), mux, decoder, encoder, m.logWriteError, nil)
	upstreamHandlers.Use(loopbackOnly)
	settingsserver.Mount(mux, settingsHandlers)
	fleetserver.Mount(mux, fleetHandlers)
	upstreamserver.Mount(mux, upstreamHandlers)
	mux.Handle(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle(http.MethodGet, "/readyz", m.ready)
	mux.Handle(http.MethodGet, "/metrics", m.Metrics.ServeHTTP)
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

// ready serves the readiness probe. It responds with 200 only in the ready phase.
func (m *Manager) ready(w http.ResponseWriter, _ *http.Request) {
	phase := m.Status().Phase
	if phase != PhaseReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(phase + "\n"))
}

func (m *Manager) logWriteError(_ context.Context, _ http.ResponseWriter, err error) {
	level.Warn(m.Logger).Log("msg", "failed to write the response to an operator's request", "err", err)
}

// loopbackOnly refuses requests from other hosts, since only the upstream beside the
// node may announce itself.
func loopbackOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil || !address.Addr().Unmap().IsLoopback() {
			http.Error(w, "announcements are accepted from loopback only", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
