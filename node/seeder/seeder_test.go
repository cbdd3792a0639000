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

// TestMaintain guards against nodes that start together, overwrite each other's
// records and so never find each other, against a stale record that is kept forever,
// and against a comparison of the clocks of two nodes.
func TestMaintain(t *testing.T) {
	three, four := netip.MustParseAddrPort("127.0.0.1:3"), netip.MustParseAddrPort("127.0.0.1:4")
	addresses := func(list ...netip.AddrPort) []netip.AddrPort { return list }
	cases := map[string]struct {
		stored []netip.AddrPort
		live   []netip.AddrPort
		// checks holds the times of the checks in seconds, by a clock that is an hour
		// ahead of the store's clock.
		checks []int
		// rewritten is set if another node writes the record before each check.
		rewritten bool
		puts      int
	}{
		"none":                     {live: addresses(one), checks: []int{0}, puts: 1},
		"names this node":          {stored: addresses(one), live: addresses(one), checks: []int{0, 60}},
		"names one live of two":    {stored: addresses(one, three), live: addresses(one, two), checks: []int{0}, puts: 1},
		"names two live of three":  {stored: addresses(one, two), live: addresses(one, two, three), checks: []int{0, 60}},
		"names another member":     {stored: addresses(two, three), live: addresses(one, two, three), checks: []int{0, 60}},
		"names strangers":          {stored: addresses(three, four), live: addresses(one), checks: []int{0, 4}},
		"names strangers for long": {stored: addresses(three, four), live: addresses(one), checks: []int{0, 5}, puts: 1},
		"strangers write it":       {stored: addresses(three, four), live: addresses(one), checks: []int{0, 5, 10, 15}, rewritten: true},
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
				if c.rewritten {
					revision++
				}
				is.NoErr(s.maintain(t.Context()))
			}
			is.Equal(puts, c.puts)
		})
	}
}

// TestMaintainAfterRestore guards against replacing at once a record that a restored
// store holds under the revision of an earlier one. Its members had no time to be
// found through it.
func TestMaintainAfterRestore(t *testing.T) {
	is := is.New(t)
	now, puts, addresses := start, 0, []netip.AddrPort{two}
	s := Seeder{
		Self: sycamorerun.Instance{Name: one.String(), Address: one}, Logger: log.NewNopLogger(),
		Now: func() time.Time { return now },
		Live: func(time.Time) []sycamorerun.Instance {
			return []sycamorerun.Instance{{Name: one.String(), Address: one}}
		},
		Store: persister.Store{
			Get: func(context.Context, string) (persister.Object, error) {
				value, err := json.Marshal(record{Addresses: addresses})
				return persister.Object{Value: value, Revision: 7}, err
			},
			Put: func(context.Context, string, []byte, persister.Revision) (persister.Revision, error) {
				puts++
				return 8, nil
			},
		},
	}
	check := func(delay time.Duration) int {
		now = now.Add(delay)
		is.NoErr(s.maintain(t.Context()))
		return puts
	}
	is.Equal(check(0), 0)
	is.Equal(check(replaceDelay-time.Second), 0)
	addresses = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:3")}
	is.Equal(check(time.Second), 0) // the new record is kept
	is.Equal(check(replaceDelay-time.Second), 0)
	is.Equal(check(time.Second), 1)
}

// TestSeeds guards against seeds from corrupt or oversized records, and against
// reading the store although the settings contain peers.
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
				{Key: "node/z3", Value: make([]byte, maxRecordBytes+1)},
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
