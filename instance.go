package sycamorerun

import (
	"net/netip"
	"time"
)

// State is the condition of an instance's upstream as seen by other nodes.
type State string

// States of an instance.
const (
	StateNone     State = "none"
	StateCold     State = "cold"
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateLeft     State = "left"
)

// Instance is the membership record of one node and the upstream beside it.
// Only the node itself writes it.
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
	// Distance is a bucket of the latency of the store, 1 and up. Zero means
	// that the node has not measured it, Unreachable that its calls fail.
	Distance int
	// Since is when the upstream entered State. Cold and ready count as one,
	// since the slow start goes on.
	Since time.Time
}

// Unreachable is the distance of a node whose calls of the store fail.
const Unreachable = -1

// Newer reports whether i supersedes other, a record of the same node.
func (i Instance) Newer(other Instance) bool {
	if i.Incarnation != other.Incarnation {
		return i.Incarnation > other.Incarnation
	}
	return i.Sequence > other.Sequence
}

// Serving reports whether the instance's upstream takes new calls.
func (i Instance) Serving() bool {
	return i.State == StateCold || i.State == StateReady
}
