package connector_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/node/connector"
)

// waitTimeout bounds each wait for another goroutine.
const waitTimeout = 10 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a connector that handles streams of the kinds "echo" and "name". It
// announces its listen address unless configure sets another one.
func start(t testing.TB, name string, config *tls.Config, configure func(*connector.Connector)) (*connector.Connector, context.CancelFunc) {
	t.Helper()
	c := &connector.Connector{
		Self: connector.Peer{
			Name: name, Boot: 1, AvailabilityZone: "north-1", Region: "north",
		},
		TLS:    config,
		Listen: loopback,
		Handlers: map[string]connector.Handler{
			"echo": func(_ context.Context, _ connector.Peer, stream net.Conn) { _, _ = io.Copy(stream, stream) },
			"name": func(_ context.Context, from connector.Peer, stream net.Conn) {
				_, _ = io.WriteString(stream, from.Name)
			},
		},
	}
	if configure != nil {
		configure(c)
	}
	address, err := c.Bind()
	if err != nil {
		t.Fatal(err)
	}
	c.Listen = address
	if !c.Self.Address.IsValid() {
		c.Self.Address = address
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return c, stop
}

// eventually waits until condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		}
	}
}

// echo sends a message over a new stream and reads it back.
func echo(from *connector.Connector, to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	stream, err := from.Open(ctx, to, "echo")
	if err != nil {
		return err
	}
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(waitTimeout))
	sent := []byte("ping")
	if _, err := stream.Write(sent); err != nil {
		return err
	}
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(stream, got); err != nil {
		return err
	}
	if !bytes.Equal(got, sent) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// TestOpenSharesOneSession guards against opening a second session when the first
// one can carry streams in both directions.
func TestOpenSharesOneSession(t *testing.T) {
	is := is.New(t)
	a, _ := start(t, "a", nil, nil)
	b, _ := start(t, "b", nil, nil)
	is.NoErr(echo(a, b.Self.Address))
	is.NoErr(echo(b, a.Self.Address))
	stream, err := b.Open(t.Context(), a.Self.Address, "name")
	is.NoErr(err)
	defer stream.Close()
	name, err := io.ReadAll(stream)
	is.NoErr(err)
	is.Equal(string(name), "b")
	is.Equal(a.Sessions(), 1)
	is.Equal(b.Sessions(), 1)
}
