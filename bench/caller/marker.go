package caller

import "time"

// A configuration shows its version to callers by the timeout of a route: the
// upstream returns the deadline with which a request arrived, which lies at
// most one step below the timeout.
const (
	markerStep = 4 * time.Second
	// MaxMarkerVersion keeps the timeout below the settings' limit of 1 h.
	MaxMarkerVersion = 898
)

// MarkerTimeout returns the timeout of the marker route in the version with a number
// from 1 to MaxMarker. The attempts of a kind with MarkerTimeout set have no deadline
// of their own and must be answered within 4 s.
func MarkerTimeout(version int) time.Duration { return time.Duration(version+1) * markerStep }

// versionOf returns the number of the version by the deadline that arrived, in
// milliseconds.
func versionOf(left int) int {
	step := int(markerStep.Milliseconds())
	return max(0, (left+step-1)/step-1)
}
