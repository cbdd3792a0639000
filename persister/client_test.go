package persister

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// testLimit replaces the client's size limits to keep test data small.
const testLimit = 64 << 10

// TestClientFaults guards against reporting that a write had no effect when it may
// have taken effect, and against hiding that the store refused a call.
func TestClientFaults(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	const valid = `{"key":"k","revision":4}`
	cases := map[string]struct {
		handler                 http.HandlerFunc
		get, put, remove, watch error
	}{
		"success":           {respond(200, valid), nil, nil, nil, nil},
		"missing":           {respond(404, ""), ErrMissing, ErrMissing, ErrMissing, ErrMissing},
		"conflict":          {respond(409, `{"error":"x"}`), ErrConflict, ErrConflict, ErrConflict, ErrConflict},
		"compacted":         {respond(410, ""), ErrCompacted, ErrCompacted, ErrCompacted, ErrCompacted},
		"rate limit":        {respond(429, "no json"), ErrUnavailable, ErrUnavailable, ErrUnavailable, ErrUnavailable},
		"refused":           {respond(503, ""), ErrUnavailable, ErrUnavailable, ErrUnavailable, ErrUnavailable},
		"too large":         {respond(413, ""), ErrInvalid, ErrInvalid, ErrInvalid, ErrInvalid},
		"internal error":    {respond(500, ""), ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"gateway timeout":   {respond(504, ""), ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"redirect":          {respond(307, ""), ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"answer of another": {respond(200, `{"key":"other","revision":4}`), ErrUnavailable, nil, nil, nil},
		"empty object":      {respond(200, `{}`), ErrUnavailable, ErrUnknown, nil, nil},
		"not json":          {respond(200, `<html>`), ErrUnavailable, ErrUnknown, nil, ErrUnavailable},
		"above the limit":   {respond(200, `"`+strings.Repeat("x", testLimit)+`"`), ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, valid)
		}, ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"stalled in the answer": {func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, valid[:len(valid)/2])
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"cut before the answer": {func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"silent": {func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := httptest.NewServer(test.handler)
			defer server.Close()
			// A write that times out before it has a connection had no effect.
			timeout := 10 * time.Second
			if name == "silent" || name == "stalled in the answer" {
				timeout = 200 * time.Millisecond
			}
			store := newClient(ClientConfig{
				Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
				Timeout: timeout, Wait: time.Millisecond,
			}, testLimit, testLimit)
			check := func(err, want error) {
				t.Helper()
				is.True(errors.Is(err, want))
			}
			_, err := store.Get(t.Context(), "k")
			check(err, test.get)
			_, err = store.Put(t.Context(), "k", nil, 1)
			check(err, test.put)
			check(store.Delete(t.Context(), "k", 1), test.remove)
			_, err = store.Watch(t.Context(), "k", 1, false)
			check(err, test.watch)
		})
	}
}

// TestClientUnreachable guards against reporting an unknown outcome when the store
// can't be reached at all, and against a call that continues after its context has
// ended.
func TestClientUnreachable(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Close()
	store := NewClient(ClientConfig{Address: address, Timeout: time.Second})
	_, err := store.Put(t.Context(), "k", nil, 0)
	is.True(errors.Is(err, ErrUnavailable))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = store.Put(ctx, "k", nil, 0)
	is.True(errors.Is(err, ErrUnavailable))
}

// TestClientListPages guards against a list that never ends because the store
// repeats a page, and against a list that exhausts the node's memory.
func TestClientListPages(t *testing.T) {
	value := strings.Repeat("A", testLimit/2)
	cases := map[string]struct {
		answer string
		want   error
	}{
		"no progress": {`{"objects":[{"key":"k","revision":1}],"revision":0,"more":true}`, ErrUnavailable},
		"endless":     {`{"objects":[{"key":"k","value":"` + value + `"}],"revision":%,"more":true}`, ErrTooLarge},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			page := uint64(0)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				page++
				_, _ = io.WriteString(w, strings.Replace(test.answer, "%", formatRevision(Revision(page)), 1))
			}))
			defer server.Close()
			store := newClient(ClientConfig{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}, testLimit, testLimit)
			_, err := store.List(t.Context(), "", 0)
			is.True(errors.Is(err, test.want))
		})
	}
}
