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

// way is one way for a request to reach the upstream.
type way struct {
	name   string
	client *http.Client
	url    string
}

// ways returns a direct call, the local path, and the path through a peer over
// a yamux session on a loopback connection.
func ways(b *testing.B, body string) []way {
	b.Helper()
	local := newBed(b, true, reply(body))
	peer := newBed(b, false, reply(body))
	for _, each := range []*bed{local, peer} {
		each.entry.Observe = func(time.Time, Observation) {}
		each.limiter.Resize(limiter.Limits{Slots: 64, Queue: 64})
		each.beside.Upstream = Transport(netip.MustParseAddrPort(each.upstream.Listener.Addr().String()), 64, each.beside.Contract)
	}
	session := sessions(b, peer)
	peer.open = func(_ context.Context, _ netip.AddrPort, kind string) (net.Conn, error) {
		stream, err := session.Open()
		if err == nil {
			_, err = stream.Write([]byte(kind + "\n"))
		}
		return stream, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.Cleanup(client.CloseIdleConnections)
	return []way{
		{"direct", client, local.upstream.URL},
		{"local", client, local.caller.URL},
		{"peer", client, peer.caller.URL},
	}
}

// sessions connects to a server that hands its streams to the peer.
func sessions(b *testing.B, peer *bed) *yamux.Session {
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
					peer.beside.ServeCall(context.Background(), stream)
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

func (w way) call(b *testing.B) time.Duration {
	began := time.Now()
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
	return time.Since(began)
}

// BenchmarkAdded calls the three ways in turn, one call at a time, so that the
// difference between them does not depend on the state of the machine.
func BenchmarkAdded(b *testing.B) {
	all := ways(b, "a short response")
	histograms := make([]*hdrhistogram.Histogram, len(all))
	for at, each := range all {
		histograms[at] = hdrhistogram.New(1, int64(time.Minute), 3)
		each.call(b)
	}
	for b.Loop() {
		for at, each := range all {
			_ = histograms[at].RecordValue(int64(each.call(b)))
		}
	}
	for at, each := range all {
		b.ReportMetric(float64(histograms[at].ValueAtQuantile(50))/1e3, each.name+"-p50-µs")
		b.ReportMetric(float64(histograms[at].ValueAtQuantile(99))/1e3, each.name+"-p99-µs")
	}
}

func processor() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCalls measures throughput, processor time and allocations per call,
// of the caller, the nodes and the upstream together: subtract the direct one.
func BenchmarkCalls(b *testing.B) {
	for name, body := range map[string]string{"small": "a short response", "1MiB": large} {
		for _, each := range ways(b, body) {
			b.Run(name+"/"+each.name, func(b *testing.B) {
				b.ReportAllocs()
				var mutex sync.Mutex
				histogram := hdrhistogram.New(1, int64(time.Minute), 3)
				before := processor()
				b.RunParallel(func(pb *testing.PB) {
					own := hdrhistogram.New(1, int64(time.Minute), 3)
					for pb.Next() {
						_ = own.RecordValue(int64(each.call(b)))
					}
					mutex.Lock()
					histogram.Merge(own)
					mutex.Unlock()
				})
				b.ReportMetric(float64((processor()-before).Microseconds())/float64(b.N), "cpu-µs/op")
				b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-µs")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			})
		}
	}
}
