package meter_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sycamorerun/meter"
)

// TestLabels guards against label values that differ from the names of instances
// and availability zones, and against scopes that share a registry.
func TestLabels(t *testing.T) {
	is := is.New(t)
	for range 2 {
		scope, handler, closer := meter.New(map[string]string{"node": "kigali-1-n1"})
		scope.Tagged(map[string]string{"scope": "cross-region"}).Counter("wire_bytes").Inc(7)
		is.NoErr(closer.Close())
		page := httptest.NewRecorder()
		handler.ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
		is.True(strings.Contains(page.Body.String(), `sycamorerun_wire_bytes{node="kigali-1-n1",scope="cross-region"} 7`))
	}
}
