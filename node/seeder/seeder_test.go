package seeder

import (
	"context"
	"encoding/json"
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

// Guards against a herd whose members overwrite each other's records and so
// never meet, against a stale record that stays for good, and against clocks
// of two nodes that decide.
func TestKeep(t *testing.T) {
	three, four := netip.MustParseAddrPort("127.0.0.1:3"), netip.MustParseAddrPort("127.0.0.1:4")
	list := func(addresses ...netip.AddrPort) []netip.AddrPort { return addresses }
	cases := map[string]struct {
		stored []netip.AddrPort
		live   []netip.AddrPort
		// checks are the times of the checks, in seconds on a clock that is an
		// hour ahead of the store's.
		checks []int
		// renewed says that another node writes the record before each check.
		renewed bool
		puts    int
	}{
		"none":                     {live: list(one), checks: []int{0}, puts: 1},
		"names this node":          {stored: list(one), live: list(one), checks: []int{0, 60}},
		"names one live of two":    {stored: list(one, three), live: list(one, two), checks: []int{0}, puts: 1},
		"names two live of three":  {stored: list(one, two), live: list(one, two, three), checks: []int{0, 60}},
		"names another member":     {stored: list(two, three), live: list(one, two, three), checks: []int{0, 60}},
		"names strangers":          {stored: list(three, four), live: list(one), checks: []int{0, 4}},
		"names strangers for long": {stored: list(three, four), live: list(one), checks: []int{0, 5}, puts: 1},
		"strangers write it":       {stored: list(three, four), live: list(one), checks: []int{0, 5, 10, 15}, renewed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			puts, revision, now := 0, persister.Revision(7), start.Add(time.Hour)
			value, err := json.Marshal(record{Addresses: c.stored})
			is.NoErr(err)
			s := Seeder{
				Self: sycamorerun.Instance{Name: one.String(), Address: one}, Logger: log.NewNopLogger(),
				Now: func() time.Time { return now },
				Live: func(time.Time) (live []sycamorerun.Instance) {
					for _, address := range c.live {
						live = append(live, sycamorerun.Instance{Name: address.String(), Address: address})
					}
					return live
				},
				Store: persister.Store{
					Get: func(context.Context, string) (persister.Object, error) {
						if c.stored == nil {
							return persister.Object{}, persister.ErrMissing
						}
						return persister.Object{Value: value, Revision: revision}, nil
					},
					Put: func(context.Context, string, []byte, persister.Revision) (persister.Revision, error) {
						puts++
						return revision, nil
					},
				},
			}
			for _, at := range c.checks {
				now = start.Add(time.Hour + time.Duration(at)*time.Second)
				if c.renewed {
					revision++
				}
				is.NoErr(s.keep(t.Context()))
			}
			is.Equal(puts, c.puts)
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
