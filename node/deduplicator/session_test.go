package deduplicator

import (
	"testing"

	"github.com/matryer/is"
)

// TestReconciledCount guards against a panic of the metrics library because of a
// negative increment of the counter of reconciled members, when more members became
// unreconciled during a round than were reconciled in it.
func TestReconciledCount(t *testing.T) {
	cases := map[string]struct {
		asked, remaining int
		want             int64
	}{
		"all":            {asked: 3, remaining: 0, want: 3},
		"some":           {asked: 3, remaining: 1, want: 2},
		"more have come": {asked: 1, remaining: 4, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(reconciledCount(c.asked, c.remaining), c.want)
		})
	}
}
