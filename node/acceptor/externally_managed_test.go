package acceptor

import (
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
)

// TestExternallyManaged guards against accepting changes while operators manage
// the configuration as one document, and against using a log beside that document.
func TestExternallyManaged(t *testing.T) {
	is := is.New(t)
	a := New(newFake().store())
	a.Store.Get, a.Store.List, a.Store.Put = nil, nil, nil // a call would panic
	a.ExternallyManaged = true
	outcome := a.Submit(t.Context(), apply("one", "flow", 6))
	is.Equal(outcome.Status, sycamorerun.StatusRefused)
	is.Equal(outcome.Faults[0].Code, CodeExternallyManaged)
	is.Equal(a.Lookup(t.Context(), "one").Faults[0].Code, CodeNoSuchChange)
	proposals, err := a.Proposals(t.Context(), "flow")
	is.NoErr(err)
	is.Equal(len(proposals), 0)
}
