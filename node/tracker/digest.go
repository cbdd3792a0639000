package tracker

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets that the records are divided into by the
// hash of their names. With 9,800 records a bucket has about 38, so that
// finding one difference costs 2 KB for the digests of the buckets and about 1
// KB for the entries of one bucket.
const bucketCount = 256

func bucket(key uint64) int { return int(key >> 56) }

func (t *table) addToDigest(now time.Time, r *record) {
	if r.expires() && now.Sub(r.inactiveSince) >= digestRetention {
		return
	}
	r.inDigest = true
	t.buckets[bucket(r.key)] += r.checksum()
}

func (t *table) removeFromDigest(r *record) {
	if r.inDigest {
		r.inDigest = false
		t.buckets[bucket(r.key)] -= r.checksum()
	}
}

// digest returns a hash over all buckets. It is equal on two nodes with the
// same records.
func (t *table) digest() uint64 {
	var data [8 * bucketCount]byte
	for i, sum := range t.buckets {
		binary.LittleEndian.PutUint64(data[8*i:], sum)
	}
	return xxhash.Sum64(data[:])
}

// differingBuckets returns the buckets whose digests differ from the peer's.
func (t *table) differingBuckets(buckets []uint64) []uint32 {
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

// listEntries adds the key, incarnation and stamp of each record in the given
// buckets to a frame, except for records that the digest does not cover.
func (t *table) listEntries(frame *Frame, buckets []uint32) {
	frame.EntryBuckets = buckets
	wanted := bucketSet(buckets)
	for _, r := range t.records {
		if r.inDigest && wanted[bucket(r.key)] {
			frame.EntryKeys = append(frame.EntryKeys, r.key)
			frame.EntryIncarnations = append(frame.EntryIncarnations, int64(r.Incarnation))
			frame.EntryStamps = append(frame.EntryStamps, r.stamp())
		}
	}
}

func bucketSet(buckets []uint32) *[bucketCount]bool {
	set := &[bucketCount]bool{}
	for _, i := range buckets {
		if i < bucketCount {
			set[i] = true
		}
	}
	return set
}

// compareEntries compares a peer's entries with the records of the same
// buckets. It returns the names of the records that are missing or older at the
// peer, and the keys of those that are missing or older at this node.
func (t *table) compareEntries(frame *Frame) (names []string, wants []uint64) {
	type entry struct {
		incarnation int64
		stamp       uint64
	}
	keys := frame.GetEntryKeys()
	entries := make(map[uint64]entry, len(keys))
	for i, key := range keys[:min(len(keys), len(frame.GetEntryIncarnations()), len(frame.GetEntryStamps()))] {
		entries[key] = entry{frame.GetEntryIncarnations()[i], frame.GetEntryStamps()[i]}
	}
	wanted := bucketSet(frame.GetEntryBuckets())
	for _, r := range t.records {
		if !wanted[bucket(r.key)] {
			continue
		}
		theirs, ok := entries[r.key]
		delete(entries, r.key)
		order := cmp.Or(cmp.Compare(int64(r.Incarnation), theirs.incarnation), cmp.Compare(r.stamp(), theirs.stamp))
		switch {
		case r.inDigest && (!ok || order > 0):
			names = append(names, r.Name)
		case ok && order < 0:
			wants = append(wants, r.key)
		}
	}
	return names, slices.AppendSeq(wants, maps.Keys(entries))
}

// recordNames returns the names of the records with the given keys.
func (t *table) recordNames(keys []uint64) []string {
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
