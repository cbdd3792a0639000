package sycamorerun

import (
	"net/netip"
	"time"
)

// State is the state of an instance's upstream as published to other nodes.
type State string

// Instance states.
const (
	StateNone     State = "none"
	StateCold     State = "cold"
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateLeft     State = "left"
)

// Instance is the membership record of a node and its upstream. Only the node
// itself writes it.
type Instance struct {
	Name             string
	Incarnation      Incarnation
	Sequence         uint64
	Address          netip.AddrPort
	AvailabilityZone string
	Region           string
	Service          string
	State            State
	Slots            int
	// Release is the release of the upstream's software, as it announces it.
	Release string
	// Distance is the node's latency to the store as a bucket number, 1 or
	// higher. Zero means not measured, Unreachable that calls to the store fail.
	Distance int
	// Since is the time at which the upstream entered State. It does not change
	// from cold to ready, since the slow start continues.
	Since time.Time
}

// Unreachable is the Distance of a node whose calls to the store fail.
const Unreachable = -1

// MaxSlots is the maximum of Instance.Slots.
const MaxSlots = 1 << 20

// Newer reports whether i supersedes other, which must be a record of the same
// node.
func (i Instance) Newer(other Instance) bool {
	if i.Incarnation != other.Incarnation {
		return i.Incarnation > other.Incarnation
	}
	return i.Sequence > other.Sequence
}

// Serving reports whether the instance's upstream accepts new calls.
func (i Instance) Serving() bool {
	return i.State == StateCold || i.State == StateReady
}
