package deduplicator

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that ends because its counter of met strangers
// decreases, when more strangers came during a round than were met in it.
func TestMet(t *testing.T) {
	cases := map[string]struct {
		asked, left int
		want        int64
	}{
		"all":            {asked: 3, left: 0, want: 3},
		"some":           {asked: 3, left: 1, want: 2},
		"more have come": {asked: 1, left: 4, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(met(c.asked, c.left), c.want)
		})
	}
}
