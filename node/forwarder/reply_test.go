package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a response that arrives at the end of its call and leaves a
// write deadline on the caller's connection, which would cut off the next
// response.
func TestLateResponseKeepsConnectionUsable(t *testing.T) {
	cases := map[string]string{"empty": "", "small": "late", "larger than the buffer": string(make([]byte, 16<<10))}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := New("n")
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ctx, watchdog, stop := withWatchdog(r.Context(), f.Now(), 0)
				stop(context.DeadlineExceeded)
				body := bufferedBody(text)
				out := &attemptResponse{status: http.StatusGatewayTimeout, header: http.Header{}, length: int64(len(text)), body: &body}
				f.writeResponse(ctx, watchdog, w, http.NewResponseController(w), &call{buffered: true}, out)
			}))
			defer server.Close()
			for range 50 {
				response, err := server.Client().Post(server.URL, "", nil) // not repeated by the client
				is.NoErr(err)
				data, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(string(data), text)
			}
		})
	}
}
