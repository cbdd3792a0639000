package caller

import "time"

// The timeout of the marker route encodes the version of the settings: the
// upstream returns the deadline with which a request arrived, which is at most one
// step below the timeout.
const (
	markerStep = 4 * time.Second
	// MaxMarkerVersion keeps the timeout below the settings' limit of 1 h.
	MaxMarkerVersion = 898
)

// MarkerTimeout returns the timeout of the marker route in a version from 1 to
// MaxMarkerVersion. Attempts of a kind with Marker set send no deadline of their
// own and must get a response within 4 s.
func MarkerTimeout(version int) time.Duration { return time.Duration(version+1) * markerStep }

// versionOf returns the version for a deadline in milliseconds as the upstream
// received it.
func versionOf(deadline int) int {
	step := int(markerStep.Milliseconds())
	return max(0, (deadline+step-1)/step-1)
}
