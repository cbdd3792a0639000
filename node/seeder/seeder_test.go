package seeder

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
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

// TestMaintainOddRecord guards against a record of the zone that another writer
// has overwritten and that is kept, or replaced without its revision.
func TestMaintainOddRecord(t *testing.T) {
	for name, value := range map[string]string{
		"no value": "", "null": "null", "array": "[]", "text": "\xff\x00", "nested": strings.Repeat("[", 4000), "large": strings.Repeat(" ", maxRecordBytes+1),
		"number": `{"addresses":1e400}`, "port zero": `{"addresses":["127.0.0.1:0"]}`, "port too large": `{"addresses":["127.0.0.1:65536"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var written []byte
			s := Seeder{
				Self: sycamorerun.Instance{Name: "a", Address: one}, Logger: log.NewNopLogger(), Now: func() time.Time { return start },
				Live: func(time.Time) []sycamorerun.Instance { return []sycamorerun.Instance{{Name: "a", Address: one}} },
				Store: persister.Store{
					Get: func(context.Context, string) (persister.Object, error) {
						return persister.Object{Value: []byte(value), Revision: 7}, nil
					},
					Put: func(_ context.Context, _ string, data []byte, expected persister.Revision) (persister.Revision, error) {
						is.Equal(expected, persister.Revision(7))
						written = data
						return 8, nil
					},
				},
			}
			is.NoErr(s.maintain(t.Context()))
			is.Equal(string(written), `{"addresses":["127.0.0.1:1"]}`)
		})
	}
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

// TestUnusableAddresses guards against an address that no node can have and that
// hides the others of its record or is dialled.
func TestUnusableAddresses(t *testing.T) {
	list := func(addresses string) string { return `{"addresses":[` + addresses + `]}` }
	const valid = `"127.0.0.1:2"`
	cases := map[string]struct {
		value string
		want  int
	}{
		"usable":             {list(valid), 1},
		"port too large":     {list(`"127.0.0.1:65536",` + valid), 1},
		"port zero":          {list(`"127.0.0.1:0",` + valid), 1},
		"negative port":      {list(`"127.0.0.1:-1",` + valid), 1},
		"no port":            {list(`"127.0.0.1",` + valid), 1},
		"host name":          {list(`"localhost:7",` + valid), 1},
		"unspecified":        {list(`"0.0.0.0:7","[::]:7",` + valid), 1},
		"multicast":          {list(`"224.0.0.1:7","[ff02::1]:7",` + valid), 1},
		"empty":              {list(`"",` + valid), 1},
		"null":               {list(`null,` + valid), 1},
		"number":             {list(`1e400,` + valid), 1},
		"nested":             {list(`[[[]]],{"a":{}},` + valid), 1},
		"invalid UTF-8":      {list("\"\xff\"," + valid), 1},
		"after":              {list(valid + `,"127.0.0.1:65536"`), 1},
		"none usable":        {list(`"127.0.0.1:0"`), 0},
		"many unusable":      {list(strings.Repeat(`"10.0.0.1:0",`, 200) + valid), 1},
		"addresses of a map": {`{"addresses":{"a":` + valid + `}}`, 0},
		"field twice":        {`{"addresses":["127.0.0.1:0"],"addresses":[` + valid + `]}`, 1},
		"cut":                {`{"addresses":[` + valid, 0},
		"null record":        {`null`, 0},
		"no record":          {``, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := Seeder{
				Self: sycamorerun.Instance{Name: "a", Address: one}, Logger: log.NewNopLogger(),
				Store: persister.Store{List: func(context.Context, string, persister.Revision) (persister.Listing, error) {
					return persister.Listing{Objects: []persister.Object{
						{Key: "node/odd", Value: []byte(c.value)},
						{Key: "node/z", Value: []byte(`{"addresses":["127.0.0.1:3"]}`)},
					}}, nil
				}},
			}
			seeds, err := s.Seeds(t.Context())
			is.NoErr(err)
			is.Equal(len(seeds), c.want+1)
			is.Equal(seeds[c.want], netip.MustParseAddrPort("127.0.0.1:3"))
			for _, seed := range seeds {
				is.True(seed.Port() != 0)
			}
		})
	}
}

// TestManyAddresses guards against a record of another writer with so many
// addresses that a starting node hardly tries those of the other records.
func TestManyAddresses(t *testing.T) {
	is := is.New(t)
	var others []string
	for port := 100; port < 300; port++ {
		others = append(others, fmt.Sprintf(`"10.0.0.1:%d"`, port))
	}
	s := Seeder{
		Self: sycamorerun.Instance{Name: "a", Address: one}, Logger: log.NewNopLogger(),
		Store: persister.Store{List: func(context.Context, string, persister.Revision) (persister.Listing, error) {
			return persister.Listing{Objects: []persister.Object{
				{Key: "node/odd", Value: []byte(`{"addresses":["127.0.0.1:0",` + strings.Join(others, ",") + `]}`)},
				{Key: "node/z", Value: []byte(`{"addresses":["127.0.0.1:2","127.0.0.1:3"]}`)},
			}}, nil
		}},
	}
	seeds, err := s.Seeds(t.Context())
	is.NoErr(err)
	is.Equal(len(seeds), maxAddresses+2)
	is.Equal(seeds[maxAddresses], two)
}

// TestOddRecordsAreLogged guards against records of other writers that operators
// can't notice, and against a log line for each read of them.
func TestOddRecordsAreLogged(t *testing.T) {
	is := is.New(t)
	var logs strings.Builder
	var objects []persister.Object
	s := Seeder{
		Self: sycamorerun.Instance{Name: "a", Address: one}, Logger: log.NewLogfmtLogger(&logs),
		Store: persister.Store{List: func(context.Context, string, persister.Revision) (persister.Listing, error) {
			return persister.Listing{Objects: objects}, nil
		}},
	}
	read := func(want ...string) {
		t.Helper()
		logs.Reset()
		_, err := s.Seeds(t.Context())
		is.NoErr(err)
		lines := strings.Count(logs.String(), "\n")
		is.Equal(lines, len(want)) // one line for each changed record
		for _, text := range want {
			is.True(strings.Contains(logs.String(), text) && strings.Contains(logs.String(), "level=warn"))
		}
	}
	valid := persister.Object{Key: "node/z", Value: []byte(`{"addresses":["127.0.0.1:2"]}`), Revision: 1}
	odd := persister.Object{Key: "node/odd", Value: []byte(`{"addresses":["127.0.0.1:65536"]}`), Revision: 2}
	empty := persister.Object{Key: "node/empty", Revision: 3}
	objects = []persister.Object{valid, odd}
	read("key=node/odd revision=2")
	read()
	objects = []persister.Object{valid, odd, empty}
	read("key=node/empty revision=3")
	read()
	odd.Revision = 4
	objects = []persister.Object{valid, odd, empty}
	read("key=node/odd revision=4")
	objects = []persister.Object{valid}
	read()
	is.Equal(len(s.logged), 0) // removed records are forgotten
}
