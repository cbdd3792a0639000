package server

import (
	"bytes"
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// extraDelay is the time after which a response is sent a second time. By then
// the connection may carry the next request.
const extraDelay = 5 * time.Millisecond

// chunkedThreshold is the size in bytes above which truncated responses are
// chunked, so that tests cover both ways of delimiting a body.
const chunkedThreshold = 32 << 10

// faults lists the faults in the response to an executed request, in order of
// precedence. The first one that applies replaces the response.
var faults = []struct {
	name  string
	share func(Behavior) float64
	send  func(s *Server, w http.ResponseWriter, r *http.Request, answer []byte)
}{
	{"lose", func(b Behavior) float64 { return b.Lose }, func(*Server, http.ResponseWriter, *http.Request, []byte) {
		panic(http.ErrAbortHandler)
	}},
	{"truncate", func(b Behavior) float64 { return b.Truncate }, func(_ *Server, w http.ResponseWriter, _ *http.Request, answer []byte) {
		if len(answer) <= chunkedThreshold {
			setContentLength(w, answer)
		}
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}},
	{"surplus", func(b Behavior) float64 { return b.Surplus }, func(_ *Server, w http.ResponseWriter, r *http.Request, answer []byte) {
		setContentLength(w, answer)
		_, _ = w.Write(answer)
		_ = http.NewResponseController(w).Flush()
		writeRaw(r, []byte("surplus bytes"))
	}},
	{"extra", func(b Behavior) float64 { return b.Extra }, func(_ *Server, w http.ResponseWriter, r *http.Request, answer []byte) {
		setContentLength(w, answer)
		_, _ = w.Write(answer)
		extra := renderResponse(w.Header(), answer)
		time.AfterFunc(extraDelay, func() { writeRaw(r, extra) })
	}},
}

// setContentLength sets the length of a response, which prevents chunking. Bytes
// that are written after a chunked response would be sent before its last chunk.
func setContentLength(w http.ResponseWriter, answer []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
}

// selectFault returns the fault for the request with an id, or nil. The choice
// depends only on the behavior and the id, so that the same request gets the same
// fault each time.
func (s *Server) selectFault(id string) func(w http.ResponseWriter, r *http.Request, answer []byte) {
	behavior := s.Behavior()
	for _, fault := range faults {
		if inShare(fault.share(behavior), fault.name, id) {
			return func(w http.ResponseWriter, r *http.Request, answer []byte) { fault.send(s, w, r, answer) }
		}
	}
	return nil
}

// inShare reports whether the request with id belongs to a share of the requests.
// A request without an id is selected at random.
func inShare(share float64, name, id string) bool {
	if share <= 0 || id == "" {
		return share > 0 && rand.Float64() < share
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name + " " + id)) // Never fails.
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64() < share
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// ConnContext must be set as ConnContext of the HTTP server. Without it, no
// surplus bytes, extra responses or TCP resets are sent.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// writeRaw writes data directly to the connection of a request, after its
// response.
func writeRaw(r *http.Request, data []byte) {
	if connection, ok := r.Context().Value(connectionKey{}).(net.Conn); ok {
		_, _ = connection.Write(data) // Fails only if the client disconnected.
	}
}

// resetConnection closes the connection of a request with a TCP reset.
func resetConnection(r *http.Request) {
	connection, _ := r.Context().Value(connectionKey{}).(net.Conn)
	if wrapped, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = wrapped.NetConn()
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// hangConnection reads from the connection of a request until the client closes it,
// and answers nothing.
func hangConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.Copy(io.Discard, connection)
}

// renderResponse returns the bytes of an HTTP response with status 200.
func renderResponse(header http.Header, answer []byte) []byte {
	var buffer bytes.Buffer
	buffer.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&buffer) // Never fails.
	buffer.WriteString("\r\n")
	buffer.Write(answer)
	return buffer.Bytes()
}
