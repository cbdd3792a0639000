package tracker

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts of the record set. With 9,800 records a
// part has about 38, so that finding one difference costs 2 KB for the parts'
// digests and about 1 KB for the entries of one part.
const bucketCount = 256

func bucket(key uint64) int { return int(key >> 56) }

func (t *table) share(now time.Time, r *record) {
	if r.timed() && now.Sub(r.since) >= sharing {
		return
	}
	r.shared = true
	t.buckets[bucket(r.key)] += r.sum()
}

func (t *table) unshare(r *record) {
	if r.shared {
		r.shared = false
		t.buckets[bucket(r.key)] -= r.sum()
	}
}

// digest is equal on two nodes with the same records.
func (t *table) digest() uint64 {
	var data [8 * bucketCount]byte
	for i, sum := range t.buckets {
		binary.LittleEndian.PutUint64(data[8*i:], sum)
	}
	return xxhash.Sum64(data[:])
}

// differing returns the parts in which a peer's digests differ.
func (t *table) differing(buckets []uint64) []uint32 {
	if len(buckets) != bucketCount {
		return nil
	}
	var list []uint32
	for i, sum := range buckets {
		if sum != t.buckets[i] {
			list = append(list, uint32(i))
		}
	}
	return list
}

// listEntries writes the entries of some parts to a frame.
func (t *table) listEntries(frame *Frame, buckets []uint32) {
	frame.EntryBuckets = buckets
	wanted := wantedBuckets(buckets)
	for _, r := range t.records {
		if r.shared && wanted[bucket(r.key)] {
			frame.EntryKeys = append(frame.EntryKeys, r.key)
			frame.EntryIncarnations = append(frame.EntryIncarnations, int64(r.Incarnation))
			frame.EntryStamps = append(frame.EntryStamps, r.stamp())
		}
	}
}

func wantedBuckets(buckets []uint32) *[bucketCount]bool {
	wanted := &[bucketCount]bool{}
	for _, i := range buckets {
		if i < bucketCount {
			wanted[i] = true
		}
	}
	return wanted
}

// compare goes through a peer's entries. It returns the names of the records
// that the peer lacks or has in an older form, and the keys of those that this
// node lacks or has in an older form.
func (t *table) compare(frame *Frame) (names []string, wants []uint64) {
	type entry struct {
		incarnation int64
		stamp       uint64
	}
	keys := frame.GetEntryKeys()
	entries := make(map[uint64]entry, len(keys))
	for i, key := range keys[:min(len(keys), len(frame.GetEntryIncarnations()), len(frame.GetEntryStamps()))] {
		entries[key] = entry{frame.GetEntryIncarnations()[i], frame.GetEntryStamps()[i]}
	}
	wanted := wantedBuckets(frame.GetEntryBuckets())
	for _, r := range t.records {
		if !wanted[bucket(r.key)] {
			continue
		}
		theirs, ok := entries[r.key]
		delete(entries, r.key)
		order := cmp.Or(cmp.Compare(int64(r.Incarnation), theirs.incarnation), cmp.Compare(r.stamp(), theirs.stamp))
		switch {
		case r.shared && (!ok || order > 0):
			names = append(names, r.Name)
		case ok && order < 0:
			wants = append(wants, r.key)
		}
	}
	return names, slices.AppendSeq(wants, maps.Keys(entries))
}

// named returns the names of the records with some keys.
func (t *table) named(keys []uint64) []string {
	if len(keys) == 0 {
		return nil
	}
	wanted := make(map[uint64]struct{}, len(keys))
	for _, key := range keys {
		wanted[key] = struct{}{}
	}
	var names []string
	for _, r := range t.records {
		if _, ok := wanted[r.key]; ok {
			names = append(names, r.Name)
		}
	}
	return names
}
