package relayer_test

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/relayer"
)

// echo starts an echo server and returns its address.
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

func exchange(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// Guards against rules without an effect, with which tests of faults would pass
// without any fault.
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
	reconnected, err := net.Dial("tcp", r.Address().String())
	if err == nil {
		is.True(exchange(reconnected, 5*time.Second) != nil)
	}
}

// Guards against a blackhole rule that also affects new connections or ends with the
// rule, and against loss and jitter that reorder data or add no delay.
func TestLinks(t *testing.T) {
	is := is.New(t)
	r, err := relayer.New(netip.MustParseAddrPort("127.0.0.1:0"), echo(t))
	is.NoErr(err)
	defer r.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", r.Address().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	old := dial()
	is.NoErr(exchange(old, 5*time.Second))
	r.Apply(func(netip.Addr) relayer.Rule { return relayer.Rule{Blackhole: true} })
	is.NoErr(exchange(dial(), 5*time.Second))
	r.Apply(func(netip.Addr) relayer.Rule { return relayer.Rule{} })
	is.True(exchange(old, 100*time.Millisecond) != nil)

	r.Apply(func(netip.Addr) relayer.Rule {
		return relayer.Rule{Jitter: 5 * time.Millisecond, Loss: 0.2, Retransmission: 20 * time.Millisecond}
	})
	conn, start := dial(), time.Now()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	sent := make([]byte, 100<<10)
	for i := range sent {
		sent[i] = byte(i / 251)
	}
	go func() { _, _ = conn.Write(sent) }()
	got := make([]byte, len(sent))
	_, err = io.ReadFull(conn, got)
	is.NoErr(err)
	is.True(bytes.Equal(got, sent))
	is.True(time.Since(start) >= 20*time.Millisecond)
}
