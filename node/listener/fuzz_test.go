package listener

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sycamorerun"
	"sycamorerun/node/governor"
)

// entryBytes is what a field of a request takes in the map of its header: its key, its
// slice of values and the first of them, in a table that is half full.
const entryBytes = 2 * (16 + 24 + 16)

// heldBytes returns what the request of a handler holds in memory.
func heldBytes(r *http.Request) int {
	total := len(r.RequestURI)
	for name, values := range r.Header {
		total += entryBytes + len(name)
		for _, value := range values {
			total += 16 + len(value)
		}
	}
	return total
}

// Guards against requests that hold more memory than their connection is charged for,
// whatever bytes they are made of, and against accounts that are left over.
func FuzzAccount(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 500) + "\r\n"))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx:y\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.0\nA:\n B\n\tC\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := &governor.Governor{Bytes: 1 << 30, Now: time.Now}
		l := New()
		l.SetLimits(sycamorerun.Limits{Header: 32 << 10})
		l.Door = g.Door("callers", 0, 0)
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			charged, _ := g.Held()
			if held := heldBytes(r); int64(held) > charged {
				t.Errorf("the request holds %d bytes, charged are %d", held, charged)
			}
			_, _ = io.Copy(io.Discard, r.Body)
		})}
		l.Configure(server)
		pipes := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(l.Wrap(pipes))
		}()
		caller, node := net.Pipe()
		pipes.conns <- node
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		_ = caller.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = caller.Write(data)
		_ = caller.Close()
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Microsecond) {
			if _, connections := g.Held(); connections == 0 {
				break
			}
			if time.Now().After(deadline) {
				t.Fatal("the connection is not closed")
			}
		}
		_ = server.Close()
		<-served
		if bytes, _ := g.Held(); bytes != 0 {
			t.Errorf("%d bytes are left in the account", bytes)
		}
	})
}

// pipeListener is a net.Listener of connections in memory.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
