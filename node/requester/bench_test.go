package requester

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// counted is the connection that this package replaced: http.Transport needs
// it to know whether something was written.
type counted struct {
	net.Conn
	writes atomic.Uint64
}

func (c *counted) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// traced is http.Transport as the forwarder used it before.
type traced struct{ *http.Transport }

func (t traced) RoundTrip(request *http.Request) (*http.Response, error) {
	var before atomic.Uint64
	return t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { before.Store(info.Conn.(*counted).writes.Load()) },
	})))
}

func processor() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRoundTrip compares the requester with http.Transport. Both include
// the upstream, a server of net/http in the same process.
func BenchmarkRoundTrip(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "a short response")
	}))
	defer upstream.Close()
	address := netip.MustParseAddrPort(upstream.Listener.Addr().String())
	old := traced{&http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address.String())
			return &counted{Conn: conn}, err
		},
		DisableCompression: true, MaxConnsPerHost: 64, MaxIdleConns: 64, MaxIdleConnsPerHost: 64,
	}}
	defer old.CloseIdleConnections()
	r := New(address, 64)
	defer r.Close()
	ways := []struct {
		name string
		way  http.RoundTripper
	}{{"transport", old}, {"requester", r}}
	for _, kind := range []string{"get", "post 1KiB", "stream 1MiB"} {
		for _, each := range ways {
			run := func(b *testing.B) {
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				request := get(ctx, "")
				switch kind {
				case "post 1KiB":
					request, _ = http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream/x", strings.NewReader(large[:1024]))
				case "stream 1MiB":
					request = post(ctx, strings.NewReader(large), int64(len(large)))
				}
				request.Header["X-Request"] = []string{"0123456789abcdef0123456789abcdef"}
				if got := do(each.way, request); got.status != http.StatusOK {
					b.Error(got)
				}
			}
			b.Run(kind+"/"+each.name, func(b *testing.B) {
				b.ReportAllocs()
				before := processor()
				for b.Loop() {
					run(b)
				}
				b.ReportMetric(float64((processor()-before).Nanoseconds())/1e3/float64(b.N), "cpu-µs/op")
			})
			b.Run(kind+"/"+each.name+"/parallel", func(b *testing.B) {
				before := processor()
				b.SetParallelism(4)
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						run(b)
					}
				})
				b.ReportMetric(float64((processor()-before).Nanoseconds())/1e3/float64(b.N), "cpu-µs/op")
			})
		}
	}
}
