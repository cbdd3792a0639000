package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/yamux"

	"sycamorerun/node/limiter"
)

// path is one of the paths on which a request can reach the upstream.
type path struct {
	name   string
	client *http.Client
	url    string
}

// newPaths returns a direct call, the local path, and the path through a peer
// over a yamux session on a loopback connection.
func newPaths(b *testing.B, body string) []path {
	b.Helper()
	local := newFixture(b, true, reply(body))
	peer := newFixture(b, false, reply(body))
	for _, fx := range []*fixture{local, peer} {
		fx.entry.Observe = func(time.Time, Observation) {}
		fx.limiter.Resize(limiter.Limits{Slots: 64, Queue: 64})
		fx.upstreamNode.Upstream = Transport(netip.MustParseAddrPort(fx.upstreamServer.Listener.Addr().String()), 64, fx.upstreamNode.Contract)
	}
	session := newSession(b, peer)
	peer.open = func(_ context.Context, _ netip.AddrPort, kind string) (net.Conn, error) {
		stream, err := session.Open()
		if err == nil {
			_, err = stream.Write([]byte(kind + "\n"))
		}
		return stream, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.Cleanup(client.CloseIdleConnections)
	return []path{
		{"direct", client, local.upstreamServer.URL},
		{"local", client, local.callerServer.URL},
		{"peer", client, peer.callerServer.URL},
	}
}

// newSession connects to a server that passes its streams to the node beside the
// upstream.
func newSession(b *testing.B, peer *fixture) *yamux.Session {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := yamux.Server(conn, config)
		if err != nil {
			return
		}
		for {
			stream, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := io.ReadFull(stream, make([]byte, len(KindCall)+1)); err == nil {
					peer.upstreamNode.ServeCall(context.Background(), stream)
				}
			}()
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	session, err := yamux.Client(conn, config)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = session.Close()
		_ = listener.Close()
	})
	return session
}

func (w path) call(b *testing.B) time.Duration {
	start := time.Now()
	response, err := w.client.Get(w.url + "/quotes?id=1")
	if err != nil {
		b.Error(err)
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Error(response.StatusCode, err)
	}
	_ = response.Body.Close()
	return time.Since(start)
}

// BenchmarkAddedLatency measures the latency that the nodes add. It calls the
// three paths in turn, one call at a time, so that their differences do not
// depend on the state of the machine.
func BenchmarkAddedLatency(b *testing.B) {
	paths := newPaths(b, "a short response")
	histograms := make([]*hdrhistogram.Histogram, len(paths))
	for at, each := range paths {
		histograms[at] = hdrhistogram.New(1, int64(time.Minute), 3)
		each.call(b)
	}
	for b.Loop() {
		for at, each := range paths {
			_ = histograms[at].RecordValue(int64(each.call(b)))
		}
	}
	for at, each := range paths {
		b.ReportMetric(float64(histograms[at].ValueAtQuantile(50))/1e3, each.name+"-p50-µs")
		b.ReportMetric(float64(histograms[at].ValueAtQuantile(99))/1e3, each.name+"-p99-µs")
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCalls measures throughput, processor time and allocations per call of
// the caller, the nodes and the upstream together. The share of the nodes is the
// difference to the direct path.
func BenchmarkCalls(b *testing.B) {
	for name, body := range map[string]string{"small": "a short response", "1MiB": largeBody} {
		for _, each := range newPaths(b, body) {
			b.Run(name+"/"+each.name, func(b *testing.B) {
				b.ReportAllocs()
				var mutex sync.Mutex
				histogram := hdrhistogram.New(1, int64(time.Minute), 3)
				cpuBefore := cpuTime()
				b.RunParallel(func(pb *testing.PB) {
					local := hdrhistogram.New(1, int64(time.Minute), 3)
					for pb.Next() {
						_ = local.RecordValue(int64(each.call(b)))
					}
					mutex.Lock()
					histogram.Merge(local)
					mutex.Unlock()
				})
				b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-µs/op")
				b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-µs")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			})
		}
	}
}
