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

// countingConn counts writes. Before this package existed, http.Transport
// needed it to tell whether any part of a request was written.
type countingConn struct {
	net.Conn
	writes atomic.Uint64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// tracedTransport is the http.Transport setup that this package replaced.
type tracedTransport struct{ *http.Transport }

func (t tracedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var before atomic.Uint64
	return t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { before.Store(info.Conn.(*countingConn).writes.Load()) },
	})))
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRoundTrip compares the requester with http.Transport. Both results
// include the upstream, a net/http server in the same process.
func BenchmarkRoundTrip(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "a short response")
	}))
	defer upstream.Close()
	address := netip.MustParseAddrPort(upstream.Listener.Addr().String())
	baseline := tracedTransport{&http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address.String())
			return &countingConn{Conn: conn}, err
		},
		DisableCompression: true, MaxConnsPerHost: 64, MaxIdleConns: 64, MaxIdleConnsPerHost: 64,
	}}
	defer baseline.CloseIdleConnections()
	r := New(address, 64)
	defer r.Close()
	transports := []struct {
		name      string
		transport http.RoundTripper
	}{{"transport", baseline}, {"requester", r}}
	for _, kind := range []string{"get", "post 1KiB", "stream 1MiB"} {
		for _, client := range transports {
			run := func(b *testing.B) {
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				request := getRequest(ctx, "")
				switch kind {
				case "post 1KiB":
					request, _ = http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream/x", strings.NewReader(large[:1024]))
				case "stream 1MiB":
					request = postRequest(ctx, strings.NewReader(large), int64(len(large)))
				}
				request.Header["X-Request"] = []string{"0123456789abcdef0123456789abcdef"}
				if got := do(client.transport, request); got.status != http.StatusOK {
					b.Error(got)
				}
			}
			b.Run(kind+"/"+client.name, func(b *testing.B) {
				b.ReportAllocs()
				before := cpuTime()
				for b.Loop() {
					run(b)
				}
				b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/1e3/float64(b.N), "cpu-µs/op")
			})
			b.Run(kind+"/"+client.name+"/parallel", func(b *testing.B) {
				before := cpuTime()
				b.SetParallelism(4)
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						run(b)
					}
				})
				b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/1e3/float64(b.N), "cpu-µs/op")
			})
		}
	}
}
