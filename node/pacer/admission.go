package pacer

import "time"

const (
	// largeBytes is the mean size of a response from which its kind is admitted by
	// the link. Smaller ones are sent without waiting.
	largeBytes = 32 << 10
	// maxWaitFraction bounds the wait for the link to a fraction of the objective, as
	// the limiter does for slots.
	maxWaitFraction = 0.4
	// sizeWeight is the weight of the newest size in the mean. The first 1/sizeWeight
	// sizes have equal weights.
	sizeWeight = 0.05
	// maxKinds bounds the number of kinds with a known size.
	maxKinds = 1024
)

// Full is the reason of the refusal of a call whose response the link can't carry in
// time.
const Full = "link-full"

// Kind groups calls whose responses are expected to have about the same size.
type Kind struct {
	Service   string
	Rank      int
	Objective time.Duration
}

// meanSize is the mean size of the responses of a kind.
type meanSize struct {
	bytes float64
	count int
}

// Record adds the size of a response.
func (p *Pacer) Record(kind Kind, bytes int64) {
	if !p.Active() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	mean, ok := p.sizes[kind]
	if !ok {
		if len(p.sizes) >= maxKinds {
			return
		}
		if p.sizes == nil {
			p.sizes = map[Kind]*meanSize{}
		}
		mean = &meanSize{}
		p.sizes[kind] = mean
	}
	mean.count++
	mean.bytes += (float64(bytes) - mean.bytes) * max(sizeWeight, 1/float64(mean.count))
}

// Admit reports whether the link can carry the response of one more call of a kind
// within a part of its objective, beside the large responses that were admitted before
// and are not less urgent. If so, the first result is to be called when the response has
// been read. If not, the second result is the time until it can. Calls of small responses
// and calls without an objective are always admitted, and one large call is.
func (p *Pacer) Admit(kind Kind) (func(), time.Duration) {
	if !p.Active() || kind.Objective <= 0 {
		return func() {}, 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	mean, ok := p.sizes[kind]
	if !ok || mean.bytes < largeBytes {
		return func() {}, 0
	}
	bytes := mean.bytes
	ahead := p.admittedUpTo(kind.Rank)
	wait, bound := p.sendTime(ahead), time.Duration(maxWaitFraction*float64(kind.Objective))
	if ahead > 0 && wait > bound {
		return nil, wait - bound
	}
	if p.admitted == nil {
		p.admitted = map[int]float64{}
	}
	p.admitted[kind.Rank] += bytes
	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.admitted[kind.Rank] = max(0, p.admitted[kind.Rank]-bytes)
	}, 0
}

// admittedUpTo returns the expected size of the admitted responses that a new one of
// the rank waits for.
func (p *Pacer) admittedUpTo(rank int) float64 {
	var bytes float64
	for other, admitted := range p.admitted {
		if other <= rank {
			bytes += admitted
		}
	}
	return bytes
}

// sendTime returns how long the link takes for bytes.
func (p *Pacer) sendTime(bytes float64) time.Duration {
	return time.Duration(bytes * 8 / (p.Rate * usableShare) * float64(time.Second))
}
