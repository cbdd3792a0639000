package tracker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorerun"
)

// health is the liveness of another node as this node sees it.
type health uint8

const (
	alive health = iota
	suspect
	failed
)

// record is an instance with the tracker's state about it.
type record struct {
	sycamorerun.Instance
	// unreachable lists the availability zones that the node reports as
	// unreachable.
	unreachable []string
	// departures are the recent ones that the node published.
	departures []sycamorerun.Departure
	earlier    earlierRun
	health     health
	// inactiveSince is when the node was suspected or left, by this node's
	// clock.
	inactiveSince time.Time
	// key is the hash of the name.
	key uint64
	// inDigest is set while the digest covers the record.
	inDigest bool
}

func newKey(name string) uint64 { return xxhash.Sum64String(name) }

// suspected reports whether the node is suspect or failed. Nodes synchronize
// only this: each one declares a suspect failed by its own timer.
func (r *record) suspected() bool { return r.health != alive }

// live reports whether the node counts as a member.
func (r *record) live() bool { return r.health != failed && r.State != sycamorerun.StateLeft }

// expires reports whether the record changes state by the passing of time.
func (r *record) expires() bool { return r.health != alive || r.State == sycamorerun.StateLeft }

// stamp orders the records of one incarnation: a suspicion ranks above the
// record that it is about and below the next sequence.
func (r *record) stamp() uint64 {
	stamp := r.Sequence << 1
	if r.suspected() {
		stamp++
	}
	return stamp
}

// checksum returns the hash that the record adds to the digest of its bucket.
func (r *record) checksum() uint64 {
	var data [24]byte
	binary.LittleEndian.PutUint64(data[0:], r.key)
	binary.LittleEndian.PutUint64(data[8:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint64(data[16:], r.stamp())
	return xxhash.Sum64(data[:])
}
