// Package seeder provides the seed peers of a starting node, from its settings or
// from the seed records in the store. The root of each availability zone in tree 0
// maintains the record of the zone.
package seeder

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/persister"
)

// Prefix is the key prefix of seed records.
const Prefix = "node/"

const (
	// checkInterval is the average time between checks of the zone's record. The
	// wait has full jitter, so that nodes restarted together don't check at the
	// same time.
	checkInterval = 5 * time.Second
	// replaceDelay is how long a record without live members is kept, measured by
	// this node's clock. An isolated starting node reads the seeds after 1, 2 and
	// 4 s, and so finds the members in the record before replacing it.
	replaceDelay = 5 * time.Second
	// minLiveMembers is the minimum number of live members in a record, if the zone
	// has as many.
	minLiveMembers = 2
	// maxAddresses is the maximum number of members in a record that is written or
	// read. A record with several members stays useful if a few of them fail.
	maxAddresses = 4
	// maxRecordBytes is the maximum size of a record that is read.
	maxRecordBytes = 4 << 10
)

// record is the seed record of an availability zone.
type record struct {
	Addresses []netip.AddrPort `json:"addresses"`
}

// Seeder reads seed records and maintains the record of its zone. Set the exported
// fields before Run.
type Seeder struct {
	Self  sycamorerun.Instance
	Store persister.Store
	// Fixed holds the peers from the settings. If there are any, the store is not
	// read.
	Fixed []netip.AddrPort
	// IsMaintainer reports whether this node maintains the record of its
	// availability zone.
	IsMaintainer func() bool
	// Live returns the live instances, sorted by name.
	Live   func(now time.Time) []sycamorerun.Instance
	Now    func() time.Time
	Logger log.Logger

	// last is the record that was read last, firstSeen the time when it was first
	// read.
	last      persister.Object
	firstSeen time.Time

	mutex sync.Mutex
	// logged holds the revisions of the odd records in the last list, which have
	// been logged. The mutex guards it.
	logged map[string]persister.Revision
}

// Seeds returns the addresses of seed peers. It makes at most one list request to
// the store.
func (s *Seeder) Seeds(ctx context.Context) ([]netip.AddrPort, error) {
	if len(s.Fixed) > 0 {
		return s.Fixed, nil
	}
	listing, err := s.Store.List(ctx, Prefix, 0)
	if err != nil {
		return nil, errors.Wrap(err, "list seed records")
	}
	var seeds []netip.AddrPort
	odd := map[string]persister.Revision{}
	for _, object := range listing.Objects {
		r, err := decodeRecord(object)
		seeds = append(seeds, r.Addresses...)
		if err != nil {
			odd[object.Key] = object.Revision
			s.logOnce(object, err)
		}
	}
	s.setLogged(odd)
	return slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == s.Self.Address }), nil
}

// logOnce logs that a record is odd, unless this revision of it has been logged.
func (s *Seeder) logOnce(object persister.Object, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision, found := s.logged[object.Key]; !found || revision != object.Revision {
		level.Warn(s.Logger).Log("msg", "ignoring what is unusable in a seed record", "key", object.Key, "revision", object.Revision, "err", err)
	}
}

func (s *Seeder) setLogged(odd map[string]persister.Revision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.logged = odd
}

// Run maintains the zone's record while this node is its maintainer.
func (s *Seeder) Run(ctx context.Context) error {
	for {
		if s.IsMaintainer() {
			if err := s.maintain(ctx); err != nil && ctx.Err() == nil {
				level.Debug(s.Logger).Log("msg", "maintaining the seed record failed", "err", err)
			}
		}
		timer := time.NewTimer(rand.N(2 * checkInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// maintain replaces the zone's record if necessary.
func (s *Seeder) maintain(ctx context.Context) error {
	key := Prefix + s.Self.AvailabilityZone
	object, err := s.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, persister.ErrMissing) {
		return err
	}
	now := s.Now()
	// A store that was restored from a copy gives out revisions again.
	if s.firstSeen.IsZero() || object.Revision != s.last.Revision || !bytes.Equal(object.Value, s.last.Value) {
		s.last, s.firstSeen = object, now
	}
	live := s.Live(now)
	wanted := chooseAddresses(s.Self, live)
	stored, _ := decodeRecord(object)
	if !needsReplacement(stored.Addresses, wanted, live, now.Sub(s.firstSeen)) {
		return nil
	}
	value, err := json.Marshal(record{Addresses: wanted})
	if err != nil {
		return errors.Wrap(err, "encode seed record")
	}
	_, err = s.Store.Put(ctx, key, value, object.Revision)
	if errors.Is(err, persister.ErrConflict) {
		return nil // Another node of the zone wrote the record; the next check reads it.
	}
	return err
}

// chooseAddresses returns the addresses for the record of self's zone: self and
// the next live members of the zone. live is sorted by name.
func chooseAddresses(self sycamorerun.Instance, live []sycamorerun.Instance) []netip.AddrPort {
	chosen := []netip.AddrPort{self.Address}
	for _, member := range live {
		if len(chosen) == maxAddresses {
			break
		}
		if member.AvailabilityZone == self.AvailabilityZone && member.Name != self.Name {
			chosen = append(chosen, member.Address)
		}
	}
	return chosen
}

// needsReplacement reports whether the stored record, which has the given age,
// contains too few live members. A record without live members may be from
// nodes that this node does not know yet. It is kept for replaceDelay, so that
// nodes that start separately find each other through it.
func needsReplacement(stored, wanted []netip.AddrPort, live []sycamorerun.Instance, age time.Duration) bool {
	listed := 0
	for _, member := range live {
		if slices.Contains(stored, member.Address) {
			listed++
		}
	}
	switch {
	case len(stored) == 0:
		return true
	case listed == 0:
		return age >= replaceDelay
	}
	return listed < min(minLiveMembers, len(wanted))
}

// decodeRecord decodes a record and leaves out the addresses that no node can
// have, and those beyond maxAddresses. The error describes what is left out. An
// invalid record counts as empty.
func decodeRecord(object persister.Object) (record, error) {
	var stored struct {
		Addresses []json.RawMessage `json:"addresses"`
	}
	if len(object.Value) > maxRecordBytes {
		return record{}, errors.Errorf("record has %d bytes, limit %d", len(object.Value), maxRecordBytes)
	}
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return record{}, errors.Wrap(err, "decode record")
	}
	var r record
	var unusable error
	for _, encoded := range stored.Addresses {
		var address netip.AddrPort
		switch err := json.Unmarshal(encoded, &address); {
		case len(r.Addresses) == maxAddresses:
			return r, errors.Errorf("record has %d addresses, limit %d", len(stored.Addresses), maxAddresses)
		case err != nil || !usable(address):
			unusable = errors.Errorf("unusable address %.64s", encoded)
		default:
			r.Addresses = append(r.Addresses, address)
		}
	}
	return r, unusable
}

// usable reports whether a node can have the address.
func usable(address netip.AddrPort) bool {
	return address.IsValid() && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}
