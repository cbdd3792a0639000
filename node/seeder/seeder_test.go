package seeder

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/persister"
)

var (
	start = time.Unix(1_000_000, 0)
	one   = netip.MustParseAddrPort("127.0.0.1:1")
	two   = netip.MustParseAddrPort("127.0.0.1:2")
)

// Guards against a herd whose members overwrite each other's fresh records
// and so never meet, and against a stale record that stays for good.
func TestDue(t *testing.T) {
	cases := map[string]struct {
		stored record
		due    bool
	}{
		"none":          {record{}, true},
		"same":          {record{[]netip.AddrPort{one}, start}, false},
		"other, fresh":  {record{[]netip.AddrPort{two}, start}, false},
		"other, stale":  {record{[]netip.AddrPort{two}, start.Add(-time.Minute)}, true},
		"future, other": {record{[]netip.AddrPort{two}, start.Add(time.Hour)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(due(start, c.stored, []netip.AddrPort{one}), c.due)
		})
	}
}

// Guards against seeds from corrupt or oversized records, and against a
// store read when the settings name peers.
func TestSeeds(t *testing.T) {
	is := is.New(t)
	lists := 0
	s := Seeder{
		Self:   sycamorerun.Instance{Name: "a", Address: one},
		Logger: log.NewNopLogger(),
		Store: persister.Store{List: func(context.Context, string, persister.Revision) (persister.Listing, error) {
			lists++
			return persister.Listing{Objects: []persister.Object{
				{Key: "node/z1", Value: []byte(`{"addresses":["127.0.0.1:1","127.0.0.1:2"]}`)},
				{Key: "node/z2", Value: []byte(`{"addresses":["nonsense"]}`)},
				{Key: "node/z3", Value: make([]byte, recordBytes+1)},
			}}, nil
		}},
	}
	seeds, err := s.Seeds(t.Context())
	is.NoErr(err)
	is.Equal(seeds, []netip.AddrPort{two})
	s.Fixed = []netip.AddrPort{one}
	seeds, err = s.Seeds(t.Context())
	is.NoErr(err)
	is.Equal(seeds, s.Fixed)
	is.Equal(lists, 1)
}
