package tracker

import (
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorerun/encoder"
)

const (
	// frameBytes bounds a received frame; recordBytes is where a sender starts
	// another frame. One record is at most about 17 KB.
	frameBytes  = 1 << 20
	recordBytes = 256 << 10
	// batch is how long records wait for others on the same link. Ten hops
	// from a leaf to a leaf in another region take half a second.
	batch = 50 * time.Millisecond
	// writing bounds the sending of one frame.
	writing = 3 * time.Second
	// mismatchMost is the number of heartbeats with a differing digest after
	// which the records are exchanged again. Records that are on their way
	// make digests differ for a moment.
	mismatchMost = 3
)

// link is a stream to a peer's tracker.
type link struct {
	peer string
	conn net.Conn
	// opened says that this end opened the stream.
	opened  bool
	started time.Time
	signal  chan struct{}
	done    chan struct{}
	once    sync.Once

	// The tracker's mutex guards the fields below.

	heard    time.Time
	unwanted time.Time
	// dirty names the records to send.
	dirty map[string]struct{}
	// beat, compare, entries and wants say what else to send.
	beat       bool
	compare    bool
	entries    []uint32
	wants      []uint64
	mismatches int
	writing    bool
}

func newLink(now time.Time, conn net.Conn, opened bool) *link {
	return &link{
		conn: conn, opened: opened, started: now, heard: now,
		signal: make(chan struct{}, 1), done: make(chan struct{}),
		dirty: map[string]struct{}{},
	}
}

func (l *link) wake() {
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// write sends frames. The deadline keeps a peer that doesn't read from
// holding the writer.
func (l *link) write(frames []*Frame) error {
	for _, frame := range frames {
		_ = l.conn.SetWriteDeadline(time.Now().Add(writing))
		if _, err := encoder.Write(l.conn, frame); err != nil {
			return err
		}
	}
	return nil
}

// preferOld decides between two links to the same peer. Both ends may have
// opened one at about the same time and have to keep the same one: the one
// that the lower name opened. Later, the newer one counts.
func preferOld(old, fresh *link, self string, window time.Duration) bool {
	if old.opened == fresh.opened || fresh.started.Sub(old.started) >= window {
		return false
	}
	return old.opened == (self < old.peer)
}

// compose takes all that waits to be sent on a link.
func (t *table) compose(now time.Time, l *link, version uint64) []*Frame {
	first := &Frame{Wants: l.wants}
	if l.beat {
		first.Heartbeat = &Heartbeat{Version: version, Digest: t.digest()}
	}
	if l.compare {
		first.Buckets = append(first.Buckets, t.buckets[:]...)
	}
	if l.entries != nil {
		t.listEntries(first, l.entries)
	}
	l.beat, l.compare, l.entries, l.wants = false, false, nil, nil
	frames := []*Frame{first}
	last, size := first, 0
	for name := range l.dirty {
		r := t.records[name]
		if r == nil {
			continue
		}
		message := encode(now, r)
		if size += proto.Size(message); size > recordBytes {
			last, size = &Frame{}, proto.Size(message)
			frames = append(frames, last)
		}
		last.Records = append(last.Records, message)
	}
	clear(l.dirty)
	return frames
}

// take applies a received frame. It stops at the first invalid record.
func (t *table) take(now time.Time, l *link, frame *Frame) error {
	l.heard = now
	for _, message := range frame.GetRecords() {
		in, err := decode(now, message)
		if err != nil {
			return err
		}
		t.merge(now, in)
		if frame.GetFrom() == in.Name && t.overtakes(in) {
			// The run that has just begun learns at once that it has to move above
			// an earlier one.
			l.mark([]string{in.Name})
		}
		if old := t.records[in.Name]; old != nil && !old.Newer(in.Instance) && old.stamp() <= in.stamp() {
			delete(l.dirty, in.Name)
		}
	}
	if beat := frame.GetHeartbeat(); beat != nil {
		t.check(l, beat.GetDigest())
	}
	if buckets := frame.GetBuckets(); len(buckets) > 0 {
		l.entries = t.differing(buckets)
	}
	if len(frame.GetEntryBuckets()) > 0 {
		names, wants := t.compare(frame)
		l.wants = wants
		l.mark(names)
	}
	l.mark(t.named(frame.GetWants()))
	return nil
}

// check compares the digest of a heartbeat with the own one. The end that
// accepted the stream starts the exchange, at once on a new link.
func (t *table) check(l *link, digest uint64) {
	if digest == t.digest() {
		l.mismatches = 0
		return
	}
	fresh := l.mismatches == 0 && l.peer == ""
	l.mismatches++
	l.compare = l.compare || !l.opened && (fresh || l.mismatches%mismatchMost == 0)
}

func (l *link) mark(names []string) {
	for _, name := range names {
		l.dirty[name] = struct{}{}
	}
}

// urgent reports whether something other than records waits to be sent.
func (l *link) urgent() bool {
	return l.beat || l.compare || l.entries != nil || l.wants != nil
}

// close ends the link for all that wait on it.
func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}
