package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"
)

// cutConn is a connection that breaks after a number of writes. The write at
// which it breaks delivers nothing.
type cutConn struct {
	net.Conn
	writesLeft atomic.Int64
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.writesLeft.Add(-1) < 0 {
		_ = c.Close()
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(p)
}

// cutCalls makes the streams of calls break after a number of frames sent by the
// entry node, or received by it.
func cutCalls(fx *fixture, sent, received int64) {
	fx.open = func(_ context.Context, _ netip.AddrPort, kind string) (net.Conn, error) {
		client, server := net.Pipe()
		if kind == KindQuery {
			fx.serveStream(kind, server)
			return client, nil
		}
		cutClient, cutServer := &cutConn{Conn: client}, &cutConn{Conn: server}
		cutClient.writesLeft.Store(sent)
		cutServer.writesLeft.Store(received)
		fx.serveStream(kind, cutServer)
		return cutClient, nil
	}
}

const unlimited = 1 << 30

// respondAndClose responds with raw bytes and closes the connection.
func respondAndClose(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}
}

// respondAndReset responds with raw bytes and resets the connection after they
// were read.
func respondAndReset(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, text)
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// respondWithHeader responds with a status and one header.
func respondWithHeader(name string, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(name, "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "x")
	}
}

// checkResponses makes the node beside the upstream check responses against a
// contract.
func checkResponses(fx *fixture) {
	fx.upstreamNode.Contract.Identity, fx.upstreamNode.Contract.Unexecuted, fx.upstreamNode.Contract.Signature = "X-Id", "X-Unexecuted", "X-Signature"
	fx.upstreamNode.Upstream = Transport(netip.MustParseAddrPort(fx.upstreamServer.Listener.Addr().String()), 6, fx.upstreamNode.Contract)
}

// respondWithLength responds with a body whose length is announced.
func respondWithLength(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		reply(body)(w, r)
	}
}

func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func unusedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:1"
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
