// Package seeder gives a starting node its first peers: from its settings, or
// from the seed records that the first member of each availability zone keeps
// in the store.
package seeder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/persister"
)

// Prefix is the prefix of the seed records' keys.
const Prefix = "node/"

const (
	// interval is the time between checks of the own zone's record. A full
	// jitter keeps the nodes of a herd restart apart.
	interval = 5 * time.Second
	// patience is how long a record that names no live member is left alone,
	// by this node's own clock. A node that starts apart reads the seeds after
	// 1, 2 and 4 s, and so finds the nodes that the record names before it
	// replaces it.
	patience = 5 * time.Second
	// spare is the least number of live members that a record names when there
	// are as many.
	spare = 2
	// addresses is how many members a record names, so that it survives the
	// failure of a few.
	addresses = 4
	// recordBytes bounds a record that is read.
	recordBytes = 4 << 10
)

// record is the seed record of an availability zone.
type record struct {
	Addresses []netip.AddrPort `json:"addresses"`
}

// Seeder reads and keeps seed records. Set the fields before Run.
type Seeder struct {
	Self  sycamorerun.Instance
	Store persister.Store
	// Fixed are the peers from the settings; the store is not asked when
	// there are any.
	Fixed []netip.AddrPort
	// IsMaintainer reports whether this node keeps its availability zone's record.
	IsMaintainer func() bool
	Live         func(now time.Time) []sycamorerun.Instance
	Now          func() time.Time
	Logger       log.Logger

	// seen is the revision of the stored record that was read last, since the
	// time of its first reading.
	seen  persister.Revision
	since time.Time
}

// Seeds returns the addresses of possible first peers, by one list of the
// store at most.
func (s *Seeder) Seeds(ctx context.Context) ([]netip.AddrPort, error) {
	if len(s.Fixed) > 0 {
		return s.Fixed, nil
	}
	listing, err := s.Store.List(ctx, Prefix, 0)
	if err != nil {
		return nil, errors.Wrap(err, "list seed records")
	}
	var seeds []netip.AddrPort
	for _, object := range listing.Objects {
		seeds = append(seeds, decode(object).Addresses...)
	}
	return slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == s.Self.Address }), nil
}

// Run keeps the zone's record while this node is the one to do so.
func (s *Seeder) Run(ctx context.Context) error {
	for {
		if s.IsMaintainer() {
			if err := s.keep(ctx); err != nil && ctx.Err() == nil {
				level.Debug(s.Logger).Log("msg", "seed record not written", "err", err)
			}
		}
		timer := time.NewTimer(rand.N(2 * interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

func (s *Seeder) keep(ctx context.Context) error {
	key := Prefix + s.Self.AvailabilityZone
	object, err := s.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, persister.ErrMissing) {
		return err
	}
	now := s.Now()
	if s.since.IsZero() || object.Revision != s.seen {
		s.seen, s.since = object.Revision, now
	}
	live := s.Live(now)
	wanted := choose(s.Self, live)
	if !due(decode(object).Addresses, wanted, live, now.Sub(s.since)) {
		return nil
	}
	value, err := json.Marshal(record{Addresses: wanted})
	if err != nil {
		return errors.Wrap(err, "encode seed record")
	}
	_, err = s.Store.Put(ctx, key, value, object.Revision)
	if errors.Is(err, persister.ErrConflict) {
		return nil // Another node of the zone wrote it; the next check looks again.
	}
	return err
}

// choose returns the members that the record of self's zone names: self and
// the next ones by name.
func choose(self sycamorerun.Instance, live []sycamorerun.Instance) []netip.AddrPort {
	chosen := []netip.AddrPort{self.Address}
	for _, member := range live {
		if len(chosen) == addresses {
			break
		}
		if member.AvailabilityZone == self.AvailabilityZone && member.Name != self.Name {
			chosen = append(chosen, member.Address)
		}
	}
	return chosen
}

// due reports whether the stored record has to be replaced, when its revision
// has been there for age: it names too few live members. One that names none
// may be from nodes that this one does not know yet, and is left alone for a
// while, so that nodes that start apart find each other through it.
func due(stored, wanted []netip.AddrPort, live []sycamorerun.Instance, age time.Duration) bool {
	named := 0
	for _, member := range live {
		if slices.Contains(stored, member.Address) {
			named++
		}
	}
	switch {
	case len(stored) == 0:
		return true
	case named == 0:
		return age >= patience
	}
	return named < min(spare, len(wanted))
}

// decode reads a record; one that can't be read counts as empty.
func decode(object persister.Object) record {
	var r record
	if len(object.Value) > recordBytes || json.Unmarshal(object.Value, &r) != nil {
		return record{}
	}
	return r
}
