package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/node/identifier"
	"sycamorerun/node/manager"
)

// Guards against keys that a new version adds or takes away and that do not hold
// on connections that are open already, in each order of the changes.
func TestKeysOnOpenConnections(t *testing.T) {
	type accounts map[string][]string
	type version struct {
		// number is the number of the version. A node that was cut off comes back
		// to one that is not the next.
		number   sycamorerun.Version
		accounts accounts
		// statuses are those of the keys k1, k2 and no key.
		statuses [3]int
	}
	// A request with a known key is refused only because there is no upstream.
	const known, unknown = http.StatusServiceUnavailable, http.StatusUnauthorized
	cases := map[string][]version{
		"added": {
			{1, accounts{"a": {"k1"}}, [3]int{known, unknown, unknown}},
			{2, accounts{"a": {"k1", "k2"}}, [3]int{known, known, unknown}},
		},
		"revoked": {
			{1, accounts{"a": {"k1", "k2"}}, [3]int{known, known, unknown}},
			{2, accounts{"a": {"k2"}}, [3]int{unknown, known, unknown}},
		},
		"revoked and added in quick succession": {
			{1, accounts{"a": {"k1"}}, [3]int{known, unknown, unknown}},
			{2, accounts{"a": nil}, [3]int{unknown, unknown, unknown}},
			{3, accounts{"a": {"k1"}}, [3]int{known, unknown, unknown}},
			{4, accounts{"a": {"k2"}}, [3]int{unknown, known, unknown}},
		},
		"moved to another account": {
			{1, accounts{"a": {"k1"}, "b": {"k2"}}, [3]int{known, known, unknown}},
			{2, accounts{"a": {"k2"}, "b": {"k1"}}, [3]int{known, known, unknown}},
		},
		"last key of an account": {
			{1, accounts{"a": {"k1"}, "b": {"k2"}}, [3]int{known, known, unknown}},
			{2, accounts{"a": nil, "b": {"k2"}}, [3]int{unknown, known, unknown}},
		},
		"last key of the only account": {
			{1, accounts{"a": {"k1"}}, [3]int{known, unknown, unknown}},
			{2, accounts{"a": nil}, [3]int{unknown, unknown, unknown}},
		},
		"account removed": {
			{1, accounts{"a": {"k1"}, "b": {"k2"}}, [3]int{known, known, unknown}},
			{2, accounts{"b": {"k2"}}, [3]int{unknown, known, unknown}},
		},
		"all accounts removed": {
			{1, accounts{"a": {"k1"}}, [3]int{known, unknown, unknown}},
			{2, nil, [3]int{known, known, known}},
		},
		"cut off and back": {
			{3, accounts{"a": {"k1"}}, [3]int{known, unknown, unknown}},
			{9, accounts{"c": {"k2"}}, [3]int{unknown, known, unknown}},
			{4, accounts{"a": {"k1"}}, [3]int{unknown, known, unknown}}, // a late, older version
		},
	}
	for name, versions := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := readyNode(t, func(*Settings) {})
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- n.run(ctx) }()
			defer func() {
				stop()
				is.NoErr(<-ended)
			}()
			conn := dialNode(t, n)
			defer func() { _ = conn.Close() }()
			responses := bufio.NewReader(conn)
			for _, v := range versions {
				items := accountItems(v.accounts)
				is.NoErr(n.applier.Install(time.Now(), sycamorerun.Tree{Version: v.number, Items: items}, differ.Hash(items)))
				for i, key := range []string{"k1", "k2", ""} {
					is.Equal(exchange(t, conn, responses, key), v.statuses[i])
				}
			}
		})
	}
}

// Guards against a node without a configuration that takes each key for unknown.
func TestKeysBeforeConfiguration(t *testing.T) {
	is := is.New(t)
	n := readyNode(t, func(*Settings) {})
	n.phase.Store(manager.PhaseStarting)
	request := httptest.NewRequest(http.MethodGet, "http://x/", nil)
	request.Header.Set("Authorization", "Bearer k1")
	recorder := httptest.NewRecorder()
	n.ready(n.calls.forwarder).ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
}

func accountItems(accounts map[string][]string) map[sycamorerun.Path]sycamorerun.Item {
	items := map[sycamorerun.Path]sycamorerun.Item{
		"admin/team/t": sycamorerun.Item(`{"mode":"flow"}`),
		"t/service/s":  sycamorerun.Item(`{"slots":6,"queue":12,"connections":130,"timeout":"2s","idle":"10s","warmup":"5s","retries":0.2}`),
		"t/route/r":    sycamorerun.Item(`{"prefix":"/","class":"interactive","repeat":"default","split":[{"service":"s","weight":100}]}`),
	}
	for name, keys := range accounts {
		var account sycamorerun.Account
		for _, key := range keys {
			account.Keys = append(account.Keys, identifier.Text(key))
		}
		item, _ := json.Marshal(account)
		items[sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindAccount, name)] = item
	}
	return items
}

// dialNode connects to the node's address for callers, once it listens.
func dialNode(t *testing.T, n *node) net.Conn {
	t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", n.settings.Callers.String())
		if err == nil {
			return conn
		}
		if time.Since(start) > 5*time.Second {
			t.Fatal(err)
		}
	}
}

// exchange sends a request over an open connection and returns the status.
func exchange(t *testing.T, conn net.Conn, responses *bufio.Reader, key string) int {
	t.Helper()
	field := ""
	if key != "" {
		field = "Authorization: Bearer " + key + "\r\n"
	}
	if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n"+field+"\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
