package sycamorerun

// Incarnation orders the runs of a node. It does not use a clock because the
// clock may be set back between two runs. The high bits are a count, the low bits
// the random boot id of the run. A run starts with count 1 and advances past
// each record that it receives from another run under its name. The boot id
// distinguishes runs that have not received each other's records.
type Incarnation int64

const (
	bootBits = 32
	// maxCount is the maximum count. A record with a larger count could not be
	// superseded.
	maxCount = 1 << 30
)

// NewIncarnation returns the first incarnation of the run with the boot id.
func NewIncarnation(boot uint32) Incarnation { return 1<<bootBits | Incarnation(boot) }

// Boot returns the boot id, which does not change during a run.
func (i Incarnation) Boot() uint32 { return uint32(i) }

// AdvancePast returns an incarnation of the same run whose count is higher than
// that of other, or i if its count already is.
func (i Incarnation) AdvancePast(other Incarnation) Incarnation {
	count := min(other>>bootBits+1, maxCount)
	return max(i, count<<bootBits|Incarnation(i.Boot()))
}

// Valid reports whether another run can supersede i.
func (i Incarnation) Valid() bool { return i > 0 && i>>bootBits <= maxCount }
