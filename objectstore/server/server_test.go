package server

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sycamorerun/objectstore/injector"
	"sycamorerun/objectstore/keeper"
	"sycamorerun/persister"
)

func start(t *testing.T, timeout time.Duration) (string, persister.Store) {
	t.Helper()
	h := httptest.NewUnstartedServer(New(keeper.New(64), injector.New(1)))
	h.Config.ConnContext = ConnContext
	h.Start()
	t.Cleanup(h.Close)
	return h.URL, persister.NewClient(persister.ClientConfig{
		Address: netip.MustParseAddrPort(h.Listener.Addr().String()),
		Caller:  "test", Timeout: timeout, Wait: 20 * time.Millisecond,
	})
}

func setFaults(t *testing.T, url, plan string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+"/faults", strings.NewReader(plan))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against persister's client and the stand-in disagreeing on the protocol.
func TestStoreOverHTTP(t *testing.T) {
	is := is.New(t)
	_, store := start(t, time.Minute)
	ctx := t.Context()
	const key = "log/odd key?&/../é"
	first, err := store.Put(ctx, key, []byte{0, 255}, 0)
	is.NoErr(err)
	_, err = store.Put(ctx, key, nil, 0)
	is.True(errors.Is(err, persister.ErrConflict))
	object, err := store.Get(ctx, key)
	is.NoErr(err)
	is.Equal(object, persister.Object{Key: key, Value: []byte{0, 255}, Revision: first})
	second, err := store.Put(ctx, key, make([]byte, keeper.MaxValueBytes), first)
	is.NoErr(err)
	_, err = store.Put(ctx, key, make([]byte, keeper.MaxValueBytes+1), second)
	is.True(errors.Is(err, persister.ErrInvalid))
	listing, err := store.List(ctx, "log/", first)
	is.NoErr(err)
	is.Equal(len(listing.Objects), 1)
	listing, err = store.Watch(ctx, "log/", 0, true)
	is.NoErr(err)
	is.Equal(len(listing.Objects), 2)
	is.NoErr(store.Delete(ctx, key, second))
	listing, err = store.Watch(ctx, "log/", second, false)
	is.NoErr(err)
	is.True(listing.Objects[0].Deleted)
	listing, err = store.Watch(ctx, "log/", listing.Revision, false)
	is.NoErr(err)
	is.Equal(len(listing.Objects), 0) // the wait ended
	_, err = store.Get(ctx, key)
	is.True(errors.Is(err, persister.ErrMissing))
}

// Guards against an injected fault whose answer or effect differs from its
// definition, on which the acceptor's tests rely.
func TestInjectedFaults(t *testing.T) {
	cases := map[string]struct {
		plan     string
		put, get error
		effect   bool
		value    string
	}{
		"none":         {`{}`, nil, nil, true, "new"},
		"refuse":       {`{"rules":[{"kind":"refuse"}]}`, persister.ErrUnavailable, persister.ErrUnavailable, false, ""},
		"stall puts":   {`{"rules":[{"kind":"stall","operations":["put"]}]}`, persister.ErrUnknown, nil, false, "old"},
		"delay":        {`{"rules":[{"kind":"delay","delay":"5ms"}]}`, nil, nil, true, "new"},
		"long delay":   {`{"rules":[{"kind":"delay","delay":"1200ms","count":1}]}`, persister.ErrUnknown, nil, true, ""},
		"lose":         {`{"rules":[{"kind":"lose","operations":["put"],"prefix":"k"}]}`, persister.ErrUnknown, nil, true, "new"},
		"mute":         {`{"rules":[{"kind":"mute","operations":["put"]}]}`, persister.ErrUnknown, nil, true, "new"},
		"late":         {`{"rules":[{"kind":"late","delay":"100ms"}]}`, persister.ErrUnknown, nil, true, "old"},
		"silence":      {`{"rules":[{"kind":"silence","operations":["put"]}]}`, persister.ErrUnknown, nil, false, "old"},
		"no share":     {`{"rules":[{"kind":"refuse","share":0.001}]}`, nil, nil, true, "new"},
		"stale":        {`{"rules":[{"kind":"stale"}]}`, nil, nil, true, "old"},
		"other caller": {`{"rules":[{"kind":"refuse","caller":"other"}]}`, nil, nil, true, "new"},
		"rate":         {`{"writes":1,"reads":1}`, persister.ErrUnavailable, nil, false, "old"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			url, store := start(t, 600*time.Millisecond)
			_, err := store.Put(t.Context(), "k", []byte("old"), 0)
			is.NoErr(err)
			is.Equal(setFaults(t, url, test.plan), http.StatusOK)
			_, err = store.Put(t.Context(), "k", []byte("new"), 1)
			is.True(errors.Is(err, test.put))
			object, err := store.Get(t.Context(), "k")
			is.True(errors.Is(err, test.get))
			if test.value != "" {
				is.Equal(string(object.Value), test.value)
			}
			is.Equal(setFaults(t, url, `{"reads":-1,"writes":-1}`), http.StatusOK)
			time.Sleep(800 * time.Millisecond) // longer than any delay that outlasts the timeout
			object, err = store.Get(t.Context(), "k")
			is.NoErr(err)
			is.Equal(object.Revision == 2, test.effect)
		})
	}
}

// Guards against accepting a mistyped plan as a plan without faults.
func TestFaultsRefused(t *testing.T) {
	url, _ := start(t, time.Minute)
	for name, plan := range map[string]string{
		"kind": `{"rules":[{"kind":"loose"}]}`, "field": `{"rule":[]}`, "json": `{`, "delay": `{"rules":[{"kind":"delay","delay":5}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(setFaults(t, url, plan), http.StatusBadRequest)
		})
	}
}

// Guards against statistics that miss a caller's calls or count them twice.
func TestStats(t *testing.T) {
	is := is.New(t)
	url, store := start(t, time.Minute)
	_, err := store.Put(t.Context(), "k", []byte("old"), 0)
	is.NoErr(err)
	_, err = store.Get(t.Context(), "k")
	is.NoErr(err)
	_, err = store.Watch(t.Context(), "k", 1, false)
	is.NoErr(err)
	response, err := http.Get(url + "/stats")
	is.NoErr(err)
	defer response.Body.Close()
	var stats Stats
	is.NoErr(json.NewDecoder(response.Body).Decode(&stats))
	usage := stats.Callers["test"]
	is.Equal(stats.Objects, 1)
	is.Equal(usage, stats.Total)
	is.Equal([]int64{usage.Reads, usage.Writes, usage.Watches, usage.Limited}, []int64{2, 1, 0, 0})
	is.True(usage.Received > 0 && usage.Sent > 0)
}

// Guards against a watch that is answered on a silenced connection, and against
// one that succeeds after its history was discarded.
func TestWatchFaults(t *testing.T) {
	is := is.New(t)
	url, store := start(t, 300*time.Millisecond)
	_, err := store.Put(t.Context(), "k", []byte("old"), 0)
	is.NoErr(err)
	is.Equal(setFaults(t, url, `{"rules":[{"kind":"forget","count":1}]}`), http.StatusOK)
	_, err = store.Watch(t.Context(), "k", 0, false)
	is.True(errors.Is(err, persister.ErrCompacted))
	_, err = store.Watch(t.Context(), "k", 0, false)
	is.True(errors.Is(err, persister.ErrCompacted)) // The history stays discarded.

	waited := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	go func() {
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, url+"/watch?prefix=k&after=1&keys=false&wait=100ms", nil)
		response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		waited <- err
	}()
	time.Sleep(50 * time.Millisecond)
	is.Equal(setFaults(t, url, `{"rules":[{"kind":"silence","operations":["watch"]}]}`), http.StatusOK)
	is.Equal(setFaults(t, url, `{}`), http.StatusOK)
	is.True(<-waited != nil)
	_, err = store.Get(t.Context(), "k")
	is.NoErr(err)
}
