package listener

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/governor"
)

// serveAccounted is serve with an account of all connections, up to bound.
func serveAccounted(t *testing.T, bound int64, handler http.HandlerFunc) (*governor.Governor, string) {
	g := &governor.Governor{Bytes: bound, Now: time.Now}
	l := New()
	l.Door = g.Door("callers", 0, 0)
	return g, serveOn(t, l, sycamorerun.Limits{}, handler)
}

// Guards against a caller whose connection is closed for a large answer that was
// charged several times, although there is room for it.
func TestLargeResponseFits(t *testing.T) {
	is := is.New(t)
	answer := make([]byte, 4<<20)
	g, address := serveAccounted(t, 6<<20, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	response, err := http.Get("http://" + address)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(body), len(answer))
	_, connections := g.Held()
	is.Equal(connections, 1) // it has not been ended
}

// Guards against an HTTP/2 connection that always has a request in progress, and whose
// account grows with each of its requests until it is closed.
func TestAccountOfBusyHTTP2(t *testing.T) {
	tests := map[string]struct {
		bodyBytes, maxHeld int64
	}{
		"without bodies": {0, 96 << 10},
		"with bodies":    {16 << 10, maxFramesHeld + 96<<10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, address := serveAccounted(t, 1<<30, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/long" {
					_ = http.NewResponseController(w).Flush()
					<-r.Context().Done()
					return
				}
				discardBody(w, r)
			})
			transport := &http.Transport{Protocols: new(http.Protocols)}
			transport.Protocols.SetUnencryptedHTTP2(true)
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			long, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/long", nil)
			is.NoErr(err)
			response, err := client.Do(long)
			is.NoErr(err)
			defer response.Body.Close()
			for range 500 {
				var body io.Reader
				if test.bodyBytes > 0 {
					body = strings.NewReader(strings.Repeat("b", int(test.bodyBytes)))
				}
				short, err := client.Post("http://"+address, "text/plain", body)
				is.NoErr(err)
				_ = short.Body.Close()
			}
			held, connections := g.Held()
			is.Equal(connections, 1)
			is.True(held <= test.maxHeld)
			leave()
			expectHeld(t, g, idleBytes)
		})
	}
}

// idleBytes is what an idle connection is charged.
const idleBytes = 16 << 10

// expectHeld waits until the connections hold the number of bytes.
func expectHeld(t *testing.T, g *governor.Governor, bytes int64) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		held, _ := g.Held()
		if held == bytes {
			return
		}
		if time.Since(start) > 5*time.Second {
			t.Fatalf("%d bytes are held, not %d", held, bytes)
		}
	}
}

// Guards against frames that are charged for too little when they arrive in pieces.
func TestFrames(t *testing.T) {
	const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	tests := map[string]struct {
		data string
		cost int
	}{
		"preface":      {preface, 0},
		"settings":     {preface + "\x00\x00\x06\x04\x00\x00\x00\x00\x00123456", frameHeaderBytes + 6},
		"headers":      {preface + "\x00\x00\x02\x01\x04\x00\x00\x00\x01\x82\x86", frameHeaderBytes + 2*compressedFactor},
		"continuation": {preface + "\x00\x00\x01\x09\x04\x00\x00\x00\x01\x82", frameHeaderBytes + compressedFactor},
		"headers without end": {
			preface + "\x00\x80\x00\x01\x04\x00\x00\x00\x01" + strings.Repeat("\x82", 1000), frameHeaderBytes + 1000*compressedFactor,
		},
		"more headers than are held": {
			preface + "\x02\x00\x00\x01\x04\x00\x00\x00\x01" + strings.Repeat("\x82", 1<<17), frameHeaderBytes + maxFieldsHeld,
		},
		"data, then headers": {
			preface + "\x00\x01\x00\x00\x00\x00\x00\x00\x01" + strings.Repeat("b", 256) + "\x00\x00\x01\x01\x04\x00\x00\x00\x03\x82",
			256 + 2*frameHeaderBytes + compressedFactor,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, piece := range []int{1, 7, 4096, len(test.data)} {
				var f frames
				cost := 0
				for rest := []byte(test.data); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
					cost += f.add(rest[:min(piece, len(rest))])
				}
				is.Equal(cost, test.cost)
			}
		})
	}
}
