package server

import (
	"bytes"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// extraDelay is the time after which a response is sent once more, when the
// connection may carry the next request.
const extraDelay = 5 * time.Millisecond

// chunkedFrom is the size above which truncated responses are chunked, so that
// both ways to see the end of a response are tested.
const chunkedFrom = 32 << 10

// faults are what can happen to the response of a request that ran, in the
// order in which they apply; the first one that hits replaces the response.
var faults = []struct {
	name  string
	share func(Behavior) float64
	send  func(s *Server, w http.ResponseWriter, r *http.Request, answer []byte)
}{
	{"lose", func(b Behavior) float64 { return b.Lose }, func(*Server, http.ResponseWriter, *http.Request, []byte) {
		panic(http.ErrAbortHandler)
	}},
	{"truncate", func(b Behavior) float64 { return b.Truncate }, func(_ *Server, w http.ResponseWriter, _ *http.Request, answer []byte) {
		if len(answer) <= chunkedFrom {
			state(w, answer)
		}
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}},
	{"surplus", func(b Behavior) float64 { return b.Surplus }, func(_ *Server, w http.ResponseWriter, r *http.Request, answer []byte) {
		state(w, answer)
		_, _ = w.Write(answer)
		_ = http.NewResponseController(w).Flush()
		raw(r, []byte("surplus bytes"))
	}},
	{"extra", func(b Behavior) float64 { return b.Extra }, func(_ *Server, w http.ResponseWriter, r *http.Request, answer []byte) {
		state(w, answer)
		_, _ = w.Write(answer)
		extra := render(w.Header(), answer)
		time.AfterFunc(extraDelay, func() { raw(r, extra) })
	}},
}

// state sets the length of a response. What follows a chunked response would be
// sent before its last chunk.
func state(w http.ResponseWriter, answer []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
}

// fault returns the fault that a request meets, by its id: the same request
// meets the same one each time. It returns nil for none.
func (s *Server) fault(id string) func(w http.ResponseWriter, r *http.Request, answer []byte) {
	behavior := s.Behavior()
	for _, fault := range faults {
		if hits(fault.share(behavior), fault.name, id) {
			return func(w http.ResponseWriter, r *http.Request, answer []byte) { fault.send(s, w, r, answer) }
		}
	}
	return nil
}

// hits reports whether a share of the requests contains the one with id; one
// without id is drawn at random.
func hits(share float64, name, id string) bool {
	if share <= 0 || id == "" {
		return share > 0 && rand.Float64() < share
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name + " " + id)) // Never fails.
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64() < share
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// Connect is the ConnContext of the HTTP server. Without it there are neither
// surplus bytes nor extra responses nor resets.
func Connect(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// raw writes to the connection of a request, past its response.
func raw(r *http.Request, data []byte) {
	if connection, ok := r.Context().Value(connectionKey{}).(net.Conn); ok {
		_, _ = connection.Write(data) // The client went away.
	}
}

// reset closes the connection of a request with a reset.
func reset(r *http.Request) {
	connection, _ := r.Context().Value(connectionKey{}).(net.Conn)
	if wrapped, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = wrapped.NetConn()
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// render returns a response as it is sent.
func render(header http.Header, answer []byte) []byte {
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&text) // Never fails.
	text.WriteString("\r\n")
	text.Write(answer)
	return text.Bytes()
}
