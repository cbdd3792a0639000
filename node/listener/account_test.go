package listener

import (
	"io"
	"net/http"
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
