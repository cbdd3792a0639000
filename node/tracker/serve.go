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

// errNotRunning rejects links before Run starts and after it ends.
var errNotRunning = errors.New("tracker is not running")

// Serve handles a stream that a peer opened, until it closes.
func (t *Tracker) Serve(ctx context.Context, from string, conn net.Conn) {
	t.setup()
	l := newLink(time.Now(), conn, false)
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	if err := t.handshake(l, from); err != nil {
		level.Debug(t.Logger).Log("msg", "inbound link rejected", "peer", from, "err", err)
		_ = conn.Close()
		return
	}
	t.runLink(l)
}

// handshake exchanges the first frames and registers the link. The dialing node
// sends first.
func (t *Tracker) handshake(l *link, expected string) error {
	_ = l.conn.SetReadDeadline(time.Now().Add(t.timing.handshakeTimeout))
	defer l.conn.SetReadDeadline(time.Time{})
	if l.outbound {
		if err := l.write(t.handshakeFrames(l, expected)); err != nil {
			return err
		}
	}
	frame, err := encoder.Read[Frame](l.conn, maxFrameBytes)
	if err != nil {
		return err
	}
	name := frame.GetFrom()
	switch {
	case name == "" || len(name) > maxNameBytes || name == t.Self.Name:
		return errors.Errorf("handshake with invalid node name %.64q", name)
	case expected != "" && name != expected:
		return errors.Errorf("handshake from node %s, want %s", name, expected)
	}
	if !l.outbound {
		if err := l.write(t.handshakeFrames(l, name)); err != nil {
			return err
		}
	}
	now := time.Now()
	departures, known, err := t.decodeDepartures(now, frame)
	if err != nil {
		return err
	}
	if err := t.addLink(l, frame); err != nil {
		return err
	}
	t.notifyVersion(name, frame)
	if known && t.Departed != nil {
		t.Departed(now, departures)
	}
	return nil
}

// decodeDepartures returns the departures in a peer's first frame, and whether the peer
// knows all earlier runs of this node.
func (t *Tracker) decodeDepartures(now time.Time, frame *Frame) ([]sycamorerun.Departure, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.earlierDepartures(now, frame)
}

// notifyVersion calls VersionSeen with the version of a frame's heartbeat.
func (t *Tracker) notifyVersion(peer string, frame *Frame) {
	if heartbeat := frame.GetHeartbeat(); heartbeat != nil && t.VersionSeen != nil {
		t.VersionSeen(peer, sycamorerun.Version(heartbeat.GetVersion()))
	}
}

// handshakeFrames returns the first frames for a peer. Its name is empty if only its
// address is known.
func (t *Tracker) handshakeFrames(l *link, peer string) []*Frame {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.sendHeartbeat = true
	l.markDirty([]string{t.Self.Name})
	now := time.Now()
	frames := t.table.buildFrames(now, l, t.version())
	frames[0].From = t.Self.Name
	t.table.describeRuns(now, frames[0], peer)
	return frames
}

func (t *Tracker) version() uint64 {
	if t.Version == nil {
		return 0
	}
	return uint64(t.Version())
}

// addLink applies the peer's first frame and registers the link.
func (t *Tracker) addLink(l *link, frame *Frame) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		return errNotRunning
	}
	name := frame.GetFrom()
	old := t.links[name]
	switch {
	case old != nil && keepExisting(old, l, t.Self.Name, t.timing.heartbeatInterval):
		return errors.Errorf("a link with %s is already open", name)
	case old != nil:
		old.close()
	case !l.outbound && len(t.links) >= maxLinks:
		return errors.Errorf("link limit reached with %d open links", len(t.links))
	}
	err := t.table.applyFrame(time.Now(), l, frame)
	l.peer = name
	if err != nil {
		return err
	}
	t.links[name] = l
	t.metrics.links.Update(float64(len(t.links)))
	t.flood(l)
	t.withdrawReports(name)
	l.wake()
	return nil
}

// withdrawReports withdraws this node's reports that the availability zone of a
// connected peer, or its own zone, is unreachable.
func (t *Tracker) withdrawReports(peer string) {
	now := time.Now()
	if t.table.isolated() {
		t.table.withdrawReport(now, t.Self.AvailabilityZone)
	}
	if r := t.table.records[peer]; r != nil && t.table.withdrawReport(now, r.AvailabilityZone) {
		level.Info(t.Logger).Log("msg", "availability zone reachable again", "zone", r.AvailabilityZone, "peer", peer)
	}
	t.flood(nil)
}

// runLink serves a link until it closes.
func (t *Tracker) runLink(l *link) {
	level.Debug(t.Logger).Log("msg", "link established", "peer", l.peer, "opened", l.outbound)
	go t.send(l)
	err := t.receive(l)
	t.mu.Lock()
	if t.links[l.peer] == l {
		delete(t.links, l.peer)
	}
	t.metrics.links.Update(float64(len(t.links)))
	t.mu.Unlock()
	l.close()
	level.Debug(t.Logger).Log("msg", "link closed", "peer", l.peer, "err", err)
}

func (t *Tracker) receive(l *link) error {
	for {
		frame, err := encoder.Read[Frame](l.conn, maxFrameBytes)
		if err != nil {
			return err
		}
		t.mu.Lock()
		err = t.table.applyFrame(time.Now(), l, frame)
		// The accepting node sends its heartbeats as replies. They carry the
		// TCP acknowledgements, which would otherwise be separate packets.
		l.sendHeartbeat = l.sendHeartbeat || !l.outbound && frame.GetHeartbeat() != nil
		t.flood(l)
		l.wake()
		t.mu.Unlock()
		if err != nil {
			t.metrics.invalidFrames.Inc(1)
			return err
		}
		t.notifyVersion(l.peer, frame)
	}
}

// send writes what is pending on a link. Records wait for the batch delay.
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
			case <-time.After(batchDelay):
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

// collect returns the frames to send now. wait is set if only records are
// pending, which may wait for more.
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
	if l.sendBuckets {
		t.metrics.exchanges.Inc(1)
	}
	return t.table.buildFrames(time.Now(), l, t.version()), false
}
