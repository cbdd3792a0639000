package runner

import (
	"sync"
	"time"

	"sycamorerun"
)

// presence is what the members are told of the upstream here.
type presence struct {
	service string
	state   sycamorerun.State
	slots   int
}

func (p presence) serving() bool { return sycamorerun.Instance{State: p.state}.Serving() }

const lapseDelay = 2 * time.Second

// publisher publishes the presence of the upstream. Before the upstream starts
// or stops serving, its keys change hands, which takes a moment.
type publisher struct {
	publish     func(presence)
	join, leave func()
	// keyless says that there are no keys to hand over.
	keyless bool

	mutex   sync.Mutex
	wanted  presence
	serving bool
	// since is when serving last changed.
	since time.Time
	// changing is closed when the change in progress has ended.
	changing chan struct{}
}

// want publishes a presence, at once unless the keys have to change hands first.
func (p *publisher) want(wanted presence) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wanted = wanted
	switch {
	case p.keyless:
		p.publish(wanted)
	case p.changing != nil: // published when the change has ended
	case wanted.serving() == p.serving:
		p.publish(wanted)
	default:
		p.changing = make(chan struct{})
		go p.change()
	}
}

// lapse records that the members no longer count the upstream as serving, since
// it was silent for too long: others may have executed its keys. A record that
// was published less than lapseDelay ago may not be in view yet.
func (p *publisher) lapse(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.changing == nil && now.Sub(p.since) >= lapseDelay {
		p.serving = false
	}
}

// reset records that the upstream is another one, which has no keys yet.
func (p *publisher) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.changing == nil {
		p.serving = false
	}
}

// change moves the keys until the wanted presence can be published.
func (p *publisher) change() {
	for {
		p.mutex.Lock()
		if p.wanted.serving() == p.serving {
			p.publish(p.wanted)
			p.since = time.Now()
			close(p.changing)
			p.changing = nil
			p.mutex.Unlock()
			return
		}
		p.serving = !p.serving
		move := p.leave
		if p.serving {
			move = p.join
		}
		p.mutex.Unlock()
		move()
	}
}

// settle waits until the wanted presence is published.
func (p *publisher) settle() {
	p.mutex.Lock()
	changing := p.changing
	p.mutex.Unlock()
	if changing != nil {
		<-changing
	}
}
