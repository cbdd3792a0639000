package runner

import (
	"sync"
	"time"

	"sycamorerun"
)

// advertisement is the state of the local upstream that is published to the members.
type advertisement struct {
	service string
	state   sycamorerun.State
	slots   int
	release string
}

func (a advertisement) serving() bool { return sycamorerun.Instance{State: a.state}.Serving() }

// unavailableThreshold is the minimum time after which the members may consider this
// upstream unavailable: the time since its record was published, if the record is not
// visible, or the time for which this process was paused.
const unavailableThreshold = 2 * time.Second

// publisher publishes the advertisement of the upstream. Before it publishes that
// the upstream starts or stops serving, it transfers the ownership of the keys in the
// background.
type publisher struct {
	publish func(advertisement)
	// join takes over the keys of this node, and leave hands them over.
	join, leave func()
	// keysDisabled is set if there are no keys to transfer.
	keysDisabled bool

	mutex   sync.Mutex
	desired advertisement
	// serving is set from the start of a join to the start of a leave, unless the
	// members consider the upstream unavailable.
	serving bool
	// lastTransfer is the end of the last transfer.
	lastTransfer time.Time
	// transferDone is closed at the end of the transfer in progress. It is nil if
	// there is none.
	transferDone chan struct{}
}

// setDesired publishes an advertisement, immediately unless the keys have to be
// transferred first.
func (p *publisher) setDesired(next advertisement) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.desired = next
	switch {
	case p.keysDisabled:
		p.publish(next)
	case p.transferDone != nil: // published at the end of the transfer
	case next.serving() == p.serving:
		p.publish(next)
	default:
		p.transferDone = make(chan struct{})
		go p.transferKeys()
	}
}

// markUnavailable records that the members consider the upstream unavailable, since it
// was silent for too long. Other members may have executed calls with its keys. It has
// no effect within unavailableThreshold after a transfer, since the published record may
// not be visible yet.
func (p *publisher) markUnavailable(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.transferDone == nil && now.Sub(p.lastTransfer) >= unavailableThreshold {
		p.serving = false
	}
}

// reset records that an upstream of another service, which owns no keys yet, has
// replaced the last one.
func (p *publisher) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.transferDone == nil {
		p.serving = false
	}
}

// transferKeys transfers the ownership of the keys and publishes the desired
// advertisement. It repeats the transfer if the desired advertisement changes
// meanwhile.
func (p *publisher) transferKeys() {
	for {
		p.mutex.Lock()
		if p.desired.serving() == p.serving {
			p.publish(p.desired)
			p.lastTransfer = time.Now()
			close(p.transferDone)
			p.transferDone = nil
			p.mutex.Unlock()
			return
		}
		p.serving = !p.serving
		transfer := p.leave
		if p.serving {
			transfer = p.join
		}
		p.mutex.Unlock()
		transfer()
	}
}

// waitPublished waits until the desired advertisement has been published.
func (p *publisher) waitPublished() {
	p.mutex.Lock()
	done := p.transferDone
	p.mutex.Unlock()
	if done != nil {
		<-done
	}
}
