package tracker

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/encoder"
)

// errNotRunning rejects links before Run and after its end.
var errNotRunning = errors.New("tracker not running")

// Serve handles a stream that a peer opened.
func (t *Tracker) Serve(ctx context.Context, from string, conn net.Conn) {
	t.setup()
	l := newLink(time.Now(), conn, false)
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	if err := t.greet(l, from); err != nil {
		level.Debug(t.Logger).Log("msg", "inbound link rejected", "peer", from, "err", err)
		_ = conn.Close()
		return
	}
	t.run(l)
}

// greet exchanges the first frames and adds the link. The opening end speaks
// first.
func (t *Tracker) greet(l *link, expected string) error {
	_ = l.conn.SetReadDeadline(time.Now().Add(t.timing.patience))
	defer l.conn.SetReadDeadline(time.Time{})
	if l.opened {
		if err := l.write(t.greeting(l)); err != nil {
			return err
		}
	}
	frame, err := encoder.Read[Frame](l.conn, frameBytes)
	if err != nil {
		return err
	}
	name := frame.GetFrom()
	switch {
	case name == "" || len(name) > nameBytes || name == t.Self.Name:
		return errors.Errorf("greeting from %.64q", name)
	case expected != "" && name != expected:
		return errors.Errorf("greeting from %s, want %s", name, expected)
	}
	if !l.opened {
		if err := l.write(t.greeting(l)); err != nil {
			return err
		}
	}
	if err := t.add(l, frame); err != nil {
		return err
	}
	t.seen(name, frame)
	return nil
}

// seen passes on the version that a frame carries.
func (t *Tracker) seen(peer string, frame *Frame) {
	if beat := frame.GetHeartbeat(); beat != nil && t.VersionSeen != nil {
		t.VersionSeen(peer, sycamorerun.Version(beat.GetVersion()))
	}
}

func (t *Tracker) greeting(l *link) []*Frame {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.beat = true
	l.mark([]string{t.Self.Name})
	frames := t.table.compose(time.Now(), l, t.version())
	frames[0].From = t.Self.Name
	return frames
}

func (t *Tracker) version() uint64 {
	if t.Version == nil {
		return 0
	}
	return uint64(t.Version())
}

// add registers a link after its first frame.
func (t *Tracker) add(l *link, frame *Frame) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		return errNotRunning
	}
	name := frame.GetFrom()
	old := t.links[name]
	switch {
	case old != nil && preferOld(old, l, t.Self.Name, t.timing.heartbeat):
		return errors.Errorf("link with %s already open", name)
	case old != nil:
		old.close()
	case !l.opened && len(t.links) >= linksMost:
		return errors.Errorf("%d links open", len(t.links))
	}
	err := t.table.take(time.Now(), l, frame)
	l.peer = name
	if err != nil {
		return err
	}
	t.links[name] = l
	t.metrics.links.Update(float64(len(t.links)))
	t.spread(l)
	t.reached(name)
	l.wake()
	return nil
}

// reached takes back the claim on the availability zone of a peer, and on the
// own one, when a link proves it wrong.
func (t *Tracker) reached(peer string) {
	now := time.Now()
	if t.table.isolated() {
		t.table.withdraw(now, t.Self.AvailabilityZone)
	}
	if r := t.table.records[peer]; r != nil && t.table.withdraw(now, r.AvailabilityZone) {
		level.Info(t.Logger).Log("msg", "availability zone reachable again", "zone", r.AvailabilityZone, "peer", peer)
	}
	t.spread(nil)
}

// run serves a link until it breaks.
func (t *Tracker) run(l *link) {
	level.Debug(t.Logger).Log("msg", "link up", "peer", l.peer, "opened", l.opened)
	go t.send(l)
	err := t.receive(l)
	t.mu.Lock()
	if t.links[l.peer] == l {
		delete(t.links, l.peer)
	}
	t.metrics.links.Update(float64(len(t.links)))
	t.mu.Unlock()
	l.close()
	level.Debug(t.Logger).Log("msg", "link down", "peer", l.peer, "err", err)
}

func (t *Tracker) receive(l *link) error {
	for {
		frame, err := encoder.Read[Frame](l.conn, frameBytes)
		if err != nil {
			return err
		}
		t.mu.Lock()
		err = t.table.take(time.Now(), l, frame)
		// The end that accepted the stream sends its heartbeats as answers, so
		// that they carry the acknowledgements of TCP, which would otherwise be
		// packets of their own.
		l.beat = l.beat || !l.opened && frame.GetHeartbeat() != nil
		t.spread(l)
		l.wake()
		t.mu.Unlock()
		if err != nil {
			t.metrics.invalid.Inc(1)
			return err
		}
		t.seen(l.peer, frame)
	}
}

// send writes what waits on a link. Records wait for others for a moment.
func (t *Tracker) send(l *link) {
	for {
		select {
		case <-l.done:
			return
		case <-l.signal:
		}
		frames, wait := t.collect(l, false)
		if wait {
			select {
			case <-l.done:
				return
			case <-time.After(batch):
			}
			frames, _ = t.collect(l, true)
		}
		err := l.write(frames)
		t.mu.Lock()
		l.writing = false
		t.mu.Unlock()
		if err != nil {
			l.close()
			return
		}
	}
}

// collect returns the frames to send now. wait says that there are only
// records, which may wait for more.
func (t *Tracker) collect(l *link, waited bool) (frames []*Frame, wait bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case l.urgent():
	case len(l.dirty) == 0:
		return nil, false
	case !waited:
		return nil, true
	}
	l.writing = true
	if l.compare {
		t.metrics.exchanges.Inc(1)
	}
	return t.table.compose(time.Now(), l, t.version()), false
}
