package runner

import (
	"sync"

	"sycamorerun"
)

// presence is what the members are told of the upstream here.
type presence struct {
	service string
	state   sycamorerun.State
	slots   int
}

func (p presence) serving() bool { return sycamorerun.Instance{State: p.state}.Serving() }

// publisher publishes the presence of the upstream. Before the upstream starts
// or stops serving, its keys change hands, which takes a moment.
type publisher struct {
	publish     func(presence)
	join, leave func()

	mutex   sync.Mutex
	wanted  presence
	serving bool
	// changing is closed when the change in progress has ended.
	changing chan struct{}
}

// want publishes a presence, at once unless the keys have to change hands first.
func (p *publisher) want(wanted presence) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wanted = wanted
	switch {
	case p.changing != nil: // published when the change has ended
	case wanted.serving() == p.serving:
		p.publish(wanted)
	default:
		p.changing = make(chan struct{})
		go p.change()
	}
}

// change moves the keys until the wanted presence can be published.
func (p *publisher) change() {
	for {
		p.mutex.Lock()
		if p.wanted.serving() == p.serving {
			p.publish(p.wanted)
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
