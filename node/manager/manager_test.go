package manager_test

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/authenticator"
	"sycamorerun/node/manager"
)

const id = "00000000-0000-4000-8000-000000000001"

// harness holds a manager with fake dependencies that record the changes and
// announcements that they receive.
type harness struct {
	manager   *manager.Manager
	submitted []sycamorerun.Change
	announced []manager.Announcement
	phase     manager.Phase
}

func newHarness() *harness {
	h := &harness{phase: manager.PhaseReady}
	h.manager = &manager.Manager{
		Name: "n", Logger: log.NewNopLogger(), Metrics: http.NotFoundHandler(),
		Now: func() time.Time { return time.Unix(1000, 0) },
		Identify: func(token string) (authenticator.Identity, bool) {
			team, ok := strings.CutPrefix(token, "token-of-")
			return authenticator.Identity{Team: team, Operator: "ann"}, ok
		},
		Current: func() (sycamorerun.Tree, sycamorerun.Hash) {
			return sycamorerun.Tree{Version: 7, Items: map[sycamorerun.Path]sycamorerun.Item{"a/service/x": []byte("{}"), "b/service/y": []byte("{}")}}, sycamorerun.Hash{}
		},
		Parse: func(text []byte) (string, map[sycamorerun.Path]sycamorerun.Item, []sycamorerun.Fault) {
			return string(text), nil, nil
		},
		Validate: func(map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault { return nil },
		Submit: func(_ context.Context, change sycamorerun.Change) sycamorerun.Outcome {
			h.submitted = append(h.submitted, change)
			return sycamorerun.Outcome{ID: change.ID, Status: sycamorerun.StatusAccepted, Version: 8}
		},
		Lookup: func(context.Context, string) (sycamorerun.Outcome, bool) { return sycamorerun.Outcome{}, false },
		Status: func() manager.Status { return manager.Status{Phase: h.phase} },
		Routes: func() []manager.Route {
			return []manager.Route{{Path: "a/route/x", State: "unserved", Since: time.Unix(1000, 0)}, {Path: "b/route/y", State: "served"}}
		},
		Accounts: func() []manager.Account {
			return []manager.Account{
				{Name: "clerk"},
				{Name: "notary", Account: sycamorerun.Account{Label: "Notary", Keys: []string{"sha256:0", "sha256:1"}, Rank: 2, Rate: 5}},
			}
		},
		Announce: func(announcement manager.Announcement) error {
			h.announced = append(h.announced, announcement)
			return nil
		},
	}
	return h
}

func (h *harness) send(method, path, token, body, remote string) (int, map[string]any) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	request.RemoteAddr = remote
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	h.manager.Handler().ServeHTTP(recorder, request)
	var fields map[string]any
	_ = json.Unmarshal(recorder.Body.Bytes(), &fields) // not every response is an object
	return recorder.Code, fields
}

// list requests path and decodes a response that is a list.
func (h *harness) list(path, token string) (int, []any) {
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	h.manager.Handler().ServeHTTP(recorder, request)
	var list []any
	_ = json.Unmarshal(recorder.Body.Bytes(), &list) // an error response is not a list
	return recorder.Code, list
}

const loopback, remote = "127.0.0.1:40000", "10.0.0.9:40000"

// Guards against requests that change a subtree without its team's token, and against
// malformed requests that reach the acceptor.
func TestSubmit(t *testing.T) {
	cases := map[string]struct {
		token     string
		body      string
		status    int
		code      string
		submitted bool
		// phase is the node's phase. Empty means ready.
		phase manager.Phase
	}{
		"own team":       {"token-of-a", `{"id":"` + id + `","kind":"apply","team":"a","settings":"a"}`, 200, "", true, ""},
		"other team":     {"token-of-b", `{"id":"` + id + `","kind":"apply","team":"a","settings":"a"}`, 403, "wrong-team", false, ""},
		"administrators": {"token-of-admin", `{"id":"` + id + `","kind":"apply","team":"a","settings":"a"}`, 403, "wrong-team", false, ""},
		"no token":       {"", `{"id":"` + id + `","kind":"apply","team":"a","settings":"a"}`, 401, "unknown-token", false, ""},
		"unknown token":  {"guess", `{"id":"` + id + `","kind":"apply","team":"a","settings":"a"}`, 401, "unknown-token", false, ""},
		"starting":       {"guess", `{"id":"` + id + `","kind":"apply","team":"a","settings":"a"}`, 503, "starting", false, manager.PhaseStarting},
		"no token yet":   {"", `{"id":"` + id + `","kind":"apply","team":"a","settings":"a"}`, 401, "unknown-token", false, manager.PhaseStarting},
		"file of other":  {"token-of-a", `{"id":"` + id + `","kind":"apply","team":"a","settings":"b"}`, 200, "", false, ""},
		"no id":          {"token-of-a", `{"kind":"apply","team":"a","settings":"a"}`, 400, "", false, ""},
		"bad id":         {"token-of-a", `{"id":"1","kind":"apply","team":"a","settings":"a"}`, 400, "", false, ""},
		"bad kind":       {"token-of-a", `{"id":"` + id + `","kind":"drop","team":"a"}`, 400, "", false, ""},
		"bad team":       {"token-of-a", `{"id":"` + id + `","kind":"apply","team":"../a","settings":"a"}`, 400, "", false, ""},
		"not JSON":       {"token-of-a", `{`, 400, "", false, ""},
		"hold":           {"token-of-a", `{"id":"` + id + `","kind":"hold","team":"a","reason":"audit"}`, 200, "", true, ""},
		"hold in past":   {"token-of-a", `{"id":"` + id + `","kind":"hold","team":"a","reason":"audit","until":"1970-01-01T00:00:00Z"}`, 200, "", false, ""},
		"hold no reason": {"token-of-a", `{"id":"` + id + `","kind":"hold","team":"a"}`, 200, "", false, ""},
		"bad content":    {"token-of-a", `{"id":"` + id + `","kind":"approve","team":"a","content":"12"}`, 200, "", false, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			h.phase = cmp.Or(c.phase, h.phase)
			status, fields := h.send(http.MethodPost, "/v1/changes", c.token, c.body, remote)
			is.Equal(status, c.status)
			if c.code != "" {
				is.Equal(fields["code"], c.code)
			}
			is.Equal(len(h.submitted) == 1, c.submitted)
			if status == http.StatusOK && !c.submitted {
				is.Equal(fields["status"], "refused")
			}
		})
	}
}

// Guards against announcements from other hosts, which could redirect calls to an
// address of their choice, and against malformed ones.
func TestAnnounce(t *testing.T) {
	const good = `{"service":"x","address":"127.0.0.1:9000","state":"ready","slots":6}`
	cases := map[string]struct {
		body, from string
		status     int
		announced  bool
	}{
		"loopback":      {good, loopback, 204, true},
		"loopback IPv6": {good, "[::1]:40000", 204, true},
		"other host":    {good, remote, 403, false},
		"no address":    {good, "", 403, false},
		"host name":     {strings.Replace(good, "127.0.0.1", "localhost", 1), loopback, 400, false},
		"no slots":      {strings.Replace(good, "6", "0", 1), loopback, 400, false},
		"state":         {strings.Replace(good, "ready", "warm", 1), loopback, 400, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			status, _ := h.send(http.MethodPut, "/v1/announcement", "", c.body, c.from)
			is.Equal(status, c.status)
			is.Equal(len(h.announced) == 1, c.announced)
		})
	}
}

// Guards against a readiness probe that equals the health probe, against a look-up that
// returns an unknown outcome for a change that no version has, and against responses
// that are not filtered by team.
func TestReadEndpoints(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	for phase, want := range map[manager.Phase]int{
		manager.PhaseStarting: 503, manager.PhaseReady: 200, manager.PhaseDraining: 503, manager.PhaseStopped: 503,
	} {
		h.phase = phase
		status, _ := h.send(http.MethodGet, "/readyz", "", "", remote)
		is.Equal(status, want)
		status, _ = h.send(http.MethodGet, "/healthz", "", "", remote)
		is.Equal(status, 200)
	}
	h.phase = manager.PhaseReady // the map is iterated in random order
	status, fields := h.send(http.MethodGet, "/v1/changes/"+id, "token-of-a", "", remote)
	is.Equal(status, 404)
	is.Equal(fields["code"], "unknown-change")
	_, routes := h.list("/v1/routes?team=a", "token-of-b")
	is.Equal(routes, []any{map[string]any{"route": "a/route/x", "state": "unserved", "since": "1970-01-01T00:16:40Z", "targets": []any{}}})
	_, routes = h.list("/v1/routes", "token-of-b")
	is.Equal(len(routes), 2)
	_, accounts := h.list("/v1/accounts", "token-of-b")
	is.Equal(accounts, []any{
		map[string]any{"name": "clerk", "keys": 0.0},
		map[string]any{"name": "notary", "label": "Notary", "rank": 2.0, "rate": 5.0, "burst": 0.0, "keys": 2.0},
	})
	status, _ = h.list("/v1/accounts", "guess")
	is.Equal(status, 401)
	status, _ = h.list("/v1/routes", "guess")
	is.Equal(status, 401)
	status, fields = h.send(http.MethodGet, "/v1/tree?team=a", "token-of-b", "", remote)
	is.Equal(status, 200)
	is.Equal(len(fields["items"].([]any)), 1)
}
