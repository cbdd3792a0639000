package forwarder

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/requester"
)

// roundTrip is an http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(request *http.Request) (*http.Response, error) { return r(request) }

// Guards against a sender that outlives its attempt and takes bytes of the body
// from the next attempt, whose upstream would get others in their place.
func TestSenderOutlivesAttempt(t *testing.T) {
	is := is.New(t)
	b := newBed(t, true, reply("unused"))
	b.picks, b.retries = []sycamorerun.Instance{{Name: b.entry.Self}, {Name: b.entry.Self}}, 1
	var late io.Reader
	b.entry.Upstream = roundTrip(func(request *http.Request) (*http.Response, error) {
		if late == nil {
			late = request.Body
			return nil, &requester.Failure{Execution: requester.NotExecuted, Reason: requester.ReasonRejected}
		}
		stolen, err := io.ReadAll(late)
		is.Equal(len(stolen), 0)
		is.True(err != nil) // the body must not look complete
		got, err := io.ReadAll(request.Body)
		is.NoErr(err)
		is.True(string(got) == large)
		return &http.Response{
			StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, ContentLength: 2,
			Body: io.NopCloser(strings.NewReader("ok")), Request: request,
		}, nil
	})
	is.Equal(b.send(http.MethodPost, "/x", strings.NewReader(large)).body, "ok")
}
