package balancer

const (
	// windowBytes is the initial congestion window of TCP. A larger response takes
	// further round trips between regions.
	windowBytes = 14600
	// sizeWeight is the weight of the newest size in the mean. The first 1/sizeWeight
	// sizes have equal weights.
	sizeWeight = 0.05
	// maxSizes bounds the number of call kinds with a known size.
	maxSizes = 1024
)

// sizeKey identifies calls that are expected to have about the same size.
type sizeKey struct {
	service string
	kind    callKind
}

// meanSize is the mean size of the bodies of a call and its response.
type meanSize struct {
	bytes float64
	count int
}

// sizes holds the mean sizes of calls.
type sizes map[sizeKey]*meanSize

func (s sizes) record(key sizeKey, bytes int64) {
	mean, ok := s[key]
	if !ok {
		if len(s) >= maxSizes {
			return
		}
		mean = &meanSize{}
		s[key] = mean
	}
	mean.count++
	mean.bytes += (float64(bytes) - mean.bytes) * max(sizeWeight, 1/float64(mean.count))
}

// lightness returns the share of the calls that may leave the region when it lacks
// capacity. It falls with their size: large responses cost more than they gain.
func (s sizes) lightness(key sizeKey) float64 {
	mean, ok := s[key]
	if !ok {
		return 1
	}
	windows := mean.bytes / windowBytes
	return 1 / (1 + windows*windows)
}
