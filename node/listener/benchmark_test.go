package listener

import (
	"net"
	"testing"
	"time"

	"sycamorerun/node/governor"
)

// nullConn is a connection whose reads and writes cost nothing.
type nullConn struct{ net.Conn }

func (nullConn) Read(p []byte) (int, error)       { return len(p), nil }
func (nullConn) Write(p []byte) (int, error)      { return len(p), nil }
func (nullConn) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (nullConn) SetReadDeadline(time.Time) error  { return nil }
func (nullConn) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkExchange measures what the wrapper adds to a read and a write, with and
// without an account, on connections of all processors at once.
func BenchmarkExchange(b *testing.B) {
	for name, door := range map[string]*governor.Door{
		"unbounded": nil, "bounded": (&governor.Governor{Bytes: 1 << 30, Now: time.Now}).Door("callers", 0, 0),
	} {
		b.Run(name, func(b *testing.B) {
			l := New()
			l.Door = door
			b.RunParallel(func(pb *testing.PB) {
				c := l.add(nullConn{})
				c.phase, c.firstRequest = serving, false
				data := make([]byte, 1024)
				for pb.Next() {
					_, _ = c.Read(data)
					_, _ = c.Write(data)
				}
			})
		})
	}
}
