package relayer_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/relayer"
)

// echo starts a server that returns what it gets.
func echo(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func exchange(conn net.Conn, wait time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// Guards against tests that pass because a fault was never in place.
func TestRules(t *testing.T) {
	is := is.New(t)
	r, err := relayer.New(netip.MustParseAddrPort("127.0.0.1:0"), echo(t))
	is.NoErr(err)
	defer r.Close()
	conn, err := net.Dial("tcp", r.Address().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(exchange(conn, 5*time.Second))

	r.Apply(func(netip.Addr) relayer.Rule { return relayer.Rule{Freeze: true} })
	is.True(exchange(conn, 100*time.Millisecond) != nil)
	r.Apply(func(netip.Addr) relayer.Rule { return relayer.Rule{Delay: 50 * time.Millisecond} })
	_, err = io.ReadFull(conn, make([]byte, 0))
	is.NoErr(err)
	start := time.Now()
	is.NoErr(exchange(conn, 5*time.Second)) // The frozen byte arrives first.
	is.NoErr(exchange(conn, 5*time.Second))
	is.True(time.Since(start) >= 50*time.Millisecond)

	r.Apply(func(netip.Addr) relayer.Rule { return relayer.Rule{Cut: true} })
	is.True(exchange(conn, 5*time.Second) != nil)
	again, err := net.Dial("tcp", r.Address().String())
	if err == nil {
		is.True(exchange(again, 5*time.Second) != nil)
	}
}
