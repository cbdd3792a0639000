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

// roundTrip is a function that implements http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(request *http.Request) (*http.Response, error) { return r(request) }

// Guards against a sender that outlives its attempt and consumes bytes of the
// body that belong to the next attempt, whose upstream would receive a corrupted
// body.
func TestSenderOutlivesAttempt(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, true, reply("unused"))
	fx.instances, fx.maxRetries = []sycamorerun.Instance{{Name: fx.entry.Self}, {Name: fx.entry.Self}}, 1
	var firstBody io.Reader
	fx.entry.Upstream = roundTrip(func(request *http.Request) (*http.Response, error) {
		if firstBody == nil {
			firstBody = request.Body
			return nil, &requester.Failure{Execution: requester.NotExecuted, Reason: requester.ReasonRejected}
		}
		read, err := io.ReadAll(firstBody)
		is.Equal(len(read), 0)
		is.True(err != nil) // the body must not look complete
		got, err := io.ReadAll(request.Body)
		is.NoErr(err)
		is.True(string(got) == largeBody)
		return &http.Response{
			StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, ContentLength: 2,
			Body: io.NopCloser(strings.NewReader("ok")), Request: request,
		}, nil
	})
	is.Equal(fx.send(http.MethodPost, "/x", strings.NewReader(largeBody)).body, "ok")
}
