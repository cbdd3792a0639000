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

// limit replaces the client's own limits to keep the tests small.
const limit = 64 << 10

// Guards against a mapping that tells an acceptor "no effect" when a write may
// have taken effect, or that hides a refusal.
func TestClientFaults(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	const good = `{"key":"k","revision":4}`
	cases := map[string]struct {
		handler                http.HandlerFunc
		get, put, erase, watch error
	}{
		"success":           {answer(200, good), nil, nil, nil, nil},
		"missing":           {answer(404, ""), ErrMissing, ErrMissing, ErrMissing, ErrMissing},
		"conflict":          {answer(409, `{"error":"x"}`), ErrConflict, ErrConflict, ErrConflict, ErrConflict},
		"compacted":         {answer(410, ""), ErrCompacted, ErrCompacted, ErrCompacted, ErrCompacted},
		"rate limit":        {answer(429, "no json"), ErrUnavailable, ErrUnavailable, ErrUnavailable, ErrUnavailable},
		"refused":           {answer(503, ""), ErrUnavailable, ErrUnavailable, ErrUnavailable, ErrUnavailable},
		"too large":         {answer(413, ""), ErrInvalid, ErrInvalid, ErrInvalid, ErrInvalid},
		"internal error":    {answer(500, ""), ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"gateway timeout":   {answer(504, ""), ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"redirect":          {answer(307, ""), ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"answer of another": {answer(200, `{"key":"other","revision":4}`), ErrUnavailable, nil, nil, nil},
		"empty object":      {answer(200, `{}`), ErrUnavailable, ErrUnknown, nil, nil},
		"not json":          {answer(200, `<html>`), ErrUnavailable, ErrUnknown, nil, ErrUnavailable},
		"above the limit":   {answer(200, `"`+strings.Repeat("x", limit)+`"`), ErrUnavailable, ErrUnknown, ErrUnknown, ErrUnavailable},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, good)
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
			store := newClient(ClientConfig{
				Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
				Timeout: 200 * time.Millisecond, Wait: time.Millisecond,
			}, limit, limit)
			check := func(err, want error) {
				t.Helper()
				is.True(errors.Is(err, want))
			}
			_, err := store.Get(t.Context(), "k")
			check(err, test.get)
			_, err = store.Put(t.Context(), "k", nil, 1)
			check(err, test.put)
			check(store.Delete(t.Context(), "k", 1), test.erase)
			_, err = store.Watch(t.Context(), "k", 1, false)
			check(err, test.watch)
		})
	}
}

// Guards against reporting an unknown outcome when the store could not be
// reached at all, and against a call that outlives its context.
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

// Guards against a list that never ends when the store repeats a page, and
// against one that fills the node's memory.
func TestClientListPages(t *testing.T) {
	value := strings.Repeat("A", limit/2)
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
				_, _ = io.WriteString(w, strings.Replace(test.answer, "%", format(Revision(page)), 1))
			}))
			defer server.Close()
			store := newClient(ClientConfig{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}, limit, limit)
			_, err := store.List(t.Context(), "", 0)
			is.True(errors.Is(err, test.want))
		})
	}
}
