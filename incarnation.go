package sycamorerun

// Incarnation orders the runs of a node without a clock, since a clock may be
// set back between two runs. It is a count, and below it the random boot id of
// the run. A run begins with the count 1 and moves above each record of its
// name that another run wrote. The boot id tells runs apart that have not met.
type Incarnation int64

const (
	bootBits = 32
	// countMost bounds the count. A record with a larger one could not be
	// superseded.
	countMost = 1 << 30
)

// NewIncarnation returns the first incarnation of a run.
func NewIncarnation(boot uint32) Incarnation { return 1<<bootBits | Incarnation(boot) }

// Boot returns the boot id, which stays the same for a run.
func (i Incarnation) Boot() uint32 { return uint32(i) }

// AdvancePast returns the incarnation of the same run that supersedes other.
func (i Incarnation) AdvancePast(other Incarnation) Incarnation {
	count := min(other>>bootBits+1, countMost)
	return max(i, count<<bootBits|Incarnation(i.Boot()))
}

// Valid reports whether another run can supersede i.
func (i Incarnation) Valid() bool { return i > 0 && i>>bootBits <= countMost }
