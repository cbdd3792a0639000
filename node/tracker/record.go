package tracker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorerun"
)

// health is this node's opinion of another one.
type health uint8

const (
	alive health = iota
	suspect
	failed
)

// record is an instance with what the tracker knows beside it.
type record struct {
	sycamorerun.Instance
	// unreachable lists the availability zones that the node can't reach.
	unreachable []string
	health      health
	// since is when the node was suspected or left, by this node's clock.
	since time.Time
	// key is the hash of the name.
	key uint64
	// shared is set while the digest covers the record.
	shared bool
}

func newKey(name string) uint64 { return xxhash.Sum64String(name) }

// suspected is the part of the health that nodes agree on: each one counts a
// suspect as failed by its own timer.
func (r *record) suspected() bool { return r.health != alive }

// live reports whether the node takes part.
func (r *record) live() bool { return r.health != failed && r.State != sycamorerun.StateLeft }

// timed reports whether the passing of time changes the record.
func (r *record) timed() bool { return r.health != alive || r.State == sycamorerun.StateLeft }

// stamp orders the records of one incarnation: a suspicion counts more than
// the record that it is about, and less than the next sequence.
func (r *record) stamp() uint64 {
	stamp := r.Sequence << 1
	if r.suspected() {
		stamp++
	}
	return stamp
}

// sum is the record's share of the digest.
func (r *record) sum() uint64 {
	var data [24]byte
	binary.LittleEndian.PutUint64(data[0:], r.key)
	binary.LittleEndian.PutUint64(data[8:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint64(data[16:], r.stamp())
	return xxhash.Sum64(data[:])
}
