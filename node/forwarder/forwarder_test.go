package forwarder

import (
	"io"
	stdlog "log"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
)

var discardLog = stdlog.New(io.Discard, "", 0)

// Guards against bodies that are changed, truncated or lose their trailers.
func TestBodies(t *testing.T) {
	forBothPaths(t, func(t *testing.T, local bool) {
		echo := func(w http.ResponseWriter, r *http.Request) {
			data, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Trailer", "Sum")
			_, _ = w.Write(data)
			w.Header().Set("Sum", r.Trailer.Get("Sum")+"!")
		}
		for name, body := range map[string]string{"none": "", "small": "abc", "large": largeBody} {
			for shape, reader := range map[string]io.Reader{"sized": strings.NewReader(body), "chunked": io.MultiReader(strings.NewReader(body))} {
				t.Run(name+" "+shape, func(t *testing.T) {
					is := is.New(t)
					fx := newFixture(t, local, echo)
					r, err := http.NewRequest(http.MethodPost, fx.callerServer.URL+"/x", reader)
					is.NoErr(err)
					r.Trailer = http.Header{"Sum": {"7"}}
					if shape == "sized" {
						r.Trailer = nil
					}
					response, err := fx.callerServer.Client().Do(r)
					is.NoErr(err)
					data, err := io.ReadAll(response.Body)
					is.NoErr(err)
					is.NoErr(response.Body.Close())
					is.Equal(response.Header.Get(sycamorerun.HeaderOutcome), "answered")
					is.Equal(string(data) == body, true)
					want := "!"
					if shape == "chunked" {
						want = "7!"
					}
					is.Equal(response.Trailer.Get("Sum"), want)
					is.Equal(fx.executed.Load(), int64(1))
					is.Equal((<-fx.observed).Status, http.StatusOK)
				})
			}
		}
	})
}
