package forwarder

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/identifier"
)

// useAccounts makes the entry node identify callers by the key "k1" of the
// account notary.
func (fx *fixture) useAccounts(public bool) {
	hash, _ := identifier.ParseHash(identifier.Text("k1"))
	fx.entry.Match = func(r *http.Request) (Match, bool) {
		match := fx.match
		key := identifier.ReadKey(r.Header, fx.entry.Contract.Scheme)
		switch {
		case public:
			match.Access = AccessPublic
		case key == nil || *key != hash:
			match.Access = AccessDenied
		default:
			match.Access, match.Account, match.Label, match.Metered = AccessGranted, "notary", "Notaría No. 1", true
		}
		return match, true
	}
}

// exchange sends a request text over a new connection and returns the response.
func (fx *fixture) exchange(t *testing.T, fields string) string {
	t.Helper()
	conn, err := net.Dial("tcp", fx.callerServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+fields+"\r\n")
	response, _ := io.ReadAll(conn)
	return string(response)
}

// Guards against an upstream that sees a key, or the name of an account that a
// caller has forged, and against requests without a known key that run.
func TestCredentials(t *testing.T) {
	const good = "Authorization: Bearer k1\r\n"
	cases := map[string]struct {
		fields  string
		public  bool
		status  string
		account string
	}{
		"known key":                      {good, false, "200", "Notaría No. 1"},
		"scheme in lower case":           {"authorization: bearer k1\r\n", false, "200", "Notaría No. 1"},
		"spaces around the key":          {"Authorization:   Bearer \t k1  \r\n", false, "200", "Notaría No. 1"},
		"no key":                         {"", false, "401", ""},
		"empty field":                    {"Authorization:\r\n", false, "401", ""},
		"scheme alone":                   {"Authorization: Bearer\r\n", false, "401", ""},
		"scheme and spaces":              {"Authorization: Bearer   \r\n", false, "401", ""},
		"key alone":                      {"Authorization: k1\r\n", false, "401", ""},
		"unknown key":                    {"Authorization: Bearer k2\r\n", false, "401", ""},
		"key in upper case":              {"Authorization: Bearer K1\r\n", false, "401", ""},
		"other scheme":                   {"Authorization: Basic k1\r\n", false, "401", ""},
		"second scheme in the field":     {"Authorization: Bearer k1, Basic k1\r\n", false, "401", ""},
		"key twice in the field":         {"Authorization: Bearer k1 k1\r\n", false, "401", ""},
		"field twice":                    {good + good, false, "401", ""},
		"second field of another scheme": {good + "AUTHORIZATION: Basic x\r\n", false, "401", ""},
		"named in Connection":            {good + "Connection: Authorization, Sycamorerun-Account\r\n", false, "200", "Notaría No. 1"},
		"forged account":                 {good + "Sycamorerun-Account: other\r\n", false, "200", "Notaría No. 1"},
		"forged account, other case":     {good + "sYCAMORERUN-aCCOUNT:other\r\n", false, "200", "Notaría No. 1"},
		"forged account, underscore":     {good + "sycamorerun_account: other\r\n", false, "200", "Notaría No. 1"},
		"forged account twice":           {"Sycamorerun-Account: a\r\n" + good + "Sycamorerun-Account: b\r\n", false, "200", "Notaría No. 1"},
		"space before the colon":         {good + "Sycamorerun-Account : other\r\n", false, "400", ""},
		"public without a key":           {"", true, "200", ""},
		"public with an unknown key":     {"Authorization: Bearer k2\r\n", true, "200", ""},
		"public with a forged account":   {good + "Sycamorerun-Account: other\r\n", true, "200", ""},
	}
	forBothPaths(t, func(t *testing.T, local bool) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				seen := make(chan http.Header, 1)
				fx := newFixture(t, local, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Clone() })
				fx.useAccounts(c.public)
				response := fx.exchange(t, c.fields)
				is.True(strings.HasPrefix(response, "HTTP/1.1 "+c.status))
				is.Equal(strings.Contains(response, "Www-Authenticate: Bearer\r\n"), c.status == "401")
				is.True(!strings.Contains(response, "k1"))
				if c.status != "200" {
					is.Equal(fx.executed.Load(), int64(0))
					return
				}
				got := <-seen
				is.Equal(got["Authorization"], nil)
				is.Equal(strings.Join(got[sycamorerun.HeaderAccount], "|"), c.account)
				for name := range got {
					is.True(!strings.EqualFold(name, "Sycamorerun_Account")) // the same to CGI
				}
			})
		}
	})
}

// Guards against a key that reaches the upstream as a trailer.
func TestCredentialsInTrailer(t *testing.T) {
	is := is.New(t)
	seen := make(chan http.Header, 1)
	fx := newFixture(t, false, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		seen <- r.Trailer.Clone()
	})
	fx.useAccounts(true)
	response := fx.exchange(t, "Transfer-Encoding: chunked\r\nTrailer: Authorization, X-Sum\r\n\r\n"+
		"1\r\na\r\n0\r\nAuthorization: Bearer k1\r\nX-Sum: 7\r\n")
	is.True(strings.HasPrefix(response, "HTTP/1.1 200"))
	got := <-seen
	is.Equal(got.Get("Authorization"), "")
	is.Equal(got.Get("X-Sum"), "7")
}

// Guards against a configuration without accounts that changes what upstreams
// get.
func TestNoAccounts(t *testing.T) {
	is := is.New(t)
	seen := make(chan http.Header, 1)
	fx := newFixture(t, false, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Clone() })
	is.True(strings.HasPrefix(fx.exchange(t, "Authorization: Basic abc\r\nSycamorerun-Account: other\r\n"), "HTTP/1.1 200"))
	got := <-seen
	is.Equal(got["Authorization"], []string{"Basic abc"})
	is.Equal(got[sycamorerun.HeaderAccount], nil)
}

// Guards the quota: a request beyond it runs nowhere, is told when to come back,
// and gains no precedence over others by its waiting.
func TestQuota(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, false, reply("ok"))
	fx.useAccounts(false)
	charged, room := 0, false
	fx.entry.Charge = func(_ time.Time, account string) (time.Duration, bool) {
		is.Equal(account, "notary")
		charged++
		return 4 * time.Second, room
	}
	response := fx.exchange(t, "Authorization: Bearer k1\r\nSycamorerun-Deadline: 4000\r\n")
	is.True(strings.HasPrefix(response, "HTTP/1.1 429"))
	is.True(strings.Contains(response, sycamorerun.HeaderReason+": quota\r\n"))
	_, after, _ := strings.Cut(response, "Retry-After: ")
	is.True(after >= "3.2" && after < "4.9") // four seconds with their jitter
	is.Equal(len(fx.entry.refusals.calls), 0)
	is.Equal(fx.executed.Load(), int64(0))
	is.True(strings.HasPrefix(fx.exchange(t, "Authorization: Bearer k2\r\n"), "HTTP/1.1 401"))
	is.Equal(charged, 1) // a request without a known key is not charged
	room, fx.match.Repeatable, fx.maxRetries = true, true, 1
	fx.instances = append([]sycamorerun.Instance{{Name: "gone"}}, fx.instances...)
	is.True(strings.HasPrefix(fx.exchange(t, "Authorization: Bearer k1\r\n"), "HTTP/1.1 200"))
	is.Equal(charged, 2) // once for each request, not for each attempt
}

// Measures the refusal of a request beyond the quota, without the network, beside
// that of one without a known key.
func BenchmarkRefuse(b *testing.B) {
	for name, field := range map[string]string{"quota": "Bearer k1", "unauthorized": "Bearer k2"} {
		b.Run(name, func(b *testing.B) {
			fx := newFixture(b, true, reply("ok"))
			fx.useAccounts(false)
			fx.entry.Charge = func(time.Time, string) (time.Duration, bool) { return time.Second, false }
			request := httptest.NewRequest(http.MethodGet, "http://x/x", nil)
			request.Header.Set("Authorization", field)
			b.ReportAllocs()
			for b.Loop() {
				fx.entry.ServeHTTP(httptest.NewRecorder(), request)
			}
		})
	}
}

// Guards against a response that is recorded for the idempotency key of one
// account and returned to another one, and against an account that can't repeat
// a request with its second key.
func TestFingerprintAccount(t *testing.T) {
	fingerprint := func(account string, credentials ...string) uint64 {
		return (&call{method: "POST", match: Match{Account: account}, credentials: credentials}).computeFingerprint()
	}
	is := is.New(t)
	is.Equal(fingerprint("a", "Bearer k1"), fingerprint("a", "Bearer k2"))
	is.True(fingerprint("a", "Bearer k1") != fingerprint("b", "Bearer k1"))
	is.True(fingerprint("", "Bearer k1") != fingerprint("", "Bearer k2")) // a public route
}

// Guards against an account whose requests are refused because another one has
// used the same idempotency key.
func TestIdempotencyKeyOfTwoAccounts(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		is := is.New(t)
		fx := newFixture(t, local, reply("booked"))
		fx.entry.Match = func(r *http.Request) (Match, bool) {
			match := fx.match
			match.Access, match.Account = AccessGranted, strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
			return match, true
		}
		send := func(account string) callResult {
			return fx.send(http.MethodPost, "/x", strings.NewReader("a"), sycamorerun.HeaderKey, "1", "Authorization", "Bearer "+account)
		}
		ran := callResult{status: 200, outcome: "answered", body: "booked"}
		is.Equal(send("notary"), ran)
		is.Equal(send("court"), ran)
		ran.reason = "key-recorded"
		is.Equal(send("notary"), ran)
		is.Equal(send("court"), ran)
		is.Equal(fx.executed.Load(), int64(2))
	})
}
