package listener_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/upstream/listener"
)

// Guards against a stand-in that accepts more connections than its limit, unlike
// real upstreams.
func TestLimit(t *testing.T) {
	is := is.New(t)
	l, err := listener.New(netip.MustParseAddrPort("127.0.0.1:0"), 1, time.Millisecond)
	is.NoErr(err)
	defer l.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for range 2 {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	for range 2 {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer conn.Close()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("a second connection was accepted beyond the limit")
	case <-time.After(50 * time.Millisecond):
	}
	is.NoErr(first.Close())
	_ = first.Close() // A second Close must not release another slot.
	second := <-accepted
	is.NoErr(second.Close())
}
