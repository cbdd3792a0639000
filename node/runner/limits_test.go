package runner

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/differ"
)

// Guards against limits of the configuration that are not applied to connections of
// callers or that remain after a version removes them, and against reloaded settings
// that override them.
func TestLimits(t *testing.T) {
	is := is.New(t)
	n := readyNode(t, func(s *Settings) {
		s.MaxHeader, s.MaxBody, s.HeaderTimeout, s.IdleTimeout = 32<<10, 100, 10*time.Second, time.Minute
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.run(ctx) }()
	defer func() {
		stop()
		is.NoErr(<-ended)
	}()
	// send returns the reason and the Keep-Alive header of the response.
	send := func(header, body int) (reason, keepAlive string) {
		for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			r, err := http.NewRequest(http.MethodPost, "http://"+n.settings.Callers.String(), strings.NewReader(strings.Repeat("x", body)))
			is.NoErr(err)
			r.Header.Set("X", strings.Repeat("x", header))
			response, err := http.DefaultClient.Do(r)
			if err == nil {
				_ = response.Body.Close()
				return response.Header.Get(sycamorerun.HeaderReason), response.Header.Get("Keep-Alive")
			}
			is.True(time.Since(start) < 5*time.Second)
		}
	}
	install := func(version sycamorerun.Version, items map[sycamorerun.Path]sycamorerun.Item) {
		tree := sycamorerun.Tree{Version: version, Items: items}
		is.NoErr(n.applier.Install(time.Now(), tree, differ.Hash(items)))
	}
	check := func(header, body int, wantReason, wantKeepAlive string) {
		t.Helper()
		reason, keepAlive := send(header, body)
		is.Equal(reason, wantReason)
		is.Equal(keepAlive, wantKeepAlive)
	}
	checkDefaults := func() {
		t.Helper()
		check(20<<10, 0, "no-route", "timeout=60")
		check(40<<10, 0, "headers-too-large", "")
		check(0, 101, "body-too-large", "")
	}
	checkDefaults()
	install(1, map[sycamorerun.Path]sycamorerun.Item{
		sycamorerun.LimitsPath: sycamorerun.Item(`{"header":16384,"idle":"7.5s"}`),
	})
	check(10<<10, 0, "no-route", "timeout=7")
	check(18<<10, 0, "headers-too-large", "timeout=7")
	check(22<<10, 0, "headers-too-large", "")
	check(0, 101, "body-too-large", "")
	changed := *n.activeSettings.Load()
	changed.MaxHeader, changed.MaxBody = 64<<10, 1000
	n.applyUpdate(settingsUpdate{changed, []string{"max-header", "max-body"}})
	check(18<<10, 0, "headers-too-large", "timeout=7")
	check(0, 1001, "body-too-large", "")
	n.applyUpdate(settingsUpdate{n.settings, []string{"max-header", "max-body"}})
	install(2, nil)
	checkDefaults()
}
