package tracker

import (
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorerun/encoder"
)

const (
	// maxFrameBytes bounds a received frame. recordBatchBytes is the size of
	// the records in a frame after which a sender starts another frame. One
	// record is at most about 50 KB.
	maxFrameBytes    = 1 << 20
	recordBatchBytes = 256 << 10
	// batchDelay is how long records wait to be sent together with further
	// records on the same link. With it, ten hops from a leaf to a leaf in
	// another region take half a second.
	batchDelay = 50 * time.Millisecond
	// writeTimeout bounds the sending of one frame.
	writeTimeout = 3 * time.Second
	// exchangeMismatches is the number of consecutive heartbeats with a
	// differing digest after which the records are synchronized again. Records
	// in flight make digests differ briefly.
	exchangeMismatches = 3
)

// link is an open stream to a peer's tracker.
type link struct {
	peer string
	conn net.Conn
	// outbound is set if this node opened the stream.
	outbound bool
	started  time.Time
	signal   chan struct{}
	done     chan struct{}
	once     sync.Once

	// The tracker's mutex guards the fields below.

	lastReceived   time.Time
	unplannedSince time.Time
	// dirty holds the names of the records to send.
	dirty map[string]struct{}
	// sendHeartbeat, sendBuckets, entryBuckets and wants select what the next
	// frame carries besides records.
	sendHeartbeat bool
	sendBuckets   bool
	entryBuckets  []uint32
	wants         []uint64
	mismatches    int
	writing       bool
}

func newLink(now time.Time, conn net.Conn, outbound bool) *link {
	return &link{
		conn: conn, outbound: outbound, started: now, lastReceived: now,
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

// write sends frames. The write deadline keeps a peer that doesn't read from
// blocking the sender.
func (l *link) write(frames []*Frame) error {
	for _, frame := range frames {
		_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := encoder.Write(l.conn, frame); err != nil {
			return err
		}
	}
	return nil
}

// keepExisting reports which of two links to the same peer stays open. Two
// nodes may dial each other at about the same time and have to keep the same
// link: the one that the node with the lower name opened. Otherwise the newer
// link replaces the older one.
func keepExisting(existing, newer *link, self string, window time.Duration) bool {
	if existing.outbound == newer.outbound || newer.started.Sub(existing.started) >= window {
		return false
	}
	return existing.outbound == (self < existing.peer)
}

// buildFrames returns frames with everything that is pending on a link, and
// clears it.
func (t *table) buildFrames(now time.Time, l *link, version uint64) []*Frame {
	first := &Frame{Wants: l.wants}
	if l.sendHeartbeat {
		first.Heartbeat = &Heartbeat{Version: version, Digest: t.digest()}
	}
	if l.sendBuckets {
		first.Buckets = append(first.Buckets, t.buckets[:]...)
	}
	if l.entryBuckets != nil {
		t.listEntries(first, l.entryBuckets)
	}
	l.sendHeartbeat, l.sendBuckets, l.entryBuckets, l.wants = false, false, nil, nil
	frames := []*Frame{first}
	last, size := first, 0
	for name := range l.dirty {
		r := t.records[name]
		if r == nil {
			continue
		}
		message := encode(now, r)
		if size += proto.Size(message); size > recordBatchBytes {
			last, size = &Frame{}, proto.Size(message)
			frames = append(frames, last)
		}
		last.Records = append(last.Records, message)
	}
	clear(l.dirty)
	return frames
}

// applyFrame applies a received frame. It stops at the first invalid record.
func (t *table) applyFrame(now time.Time, l *link, frame *Frame) error {
	l.lastReceived = now
	for _, message := range frame.GetRecords() {
		received, err := decode(now, message)
		if err != nil {
			return err
		}
		t.merge(now, received)
		if frame.GetFrom() == received.Name && t.supersededByOtherRun(received) {
			// A restarted node learns at once that it has to supersede the
			// record of an earlier run.
			l.markDirty([]string{received.Name})
		}
		if stored := t.records[received.Name]; stored != nil && !stored.Newer(received.Instance) && stored.stamp() <= received.stamp() {
			delete(l.dirty, received.Name)
		}
	}
	if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
		t.checkDigest(l, heartbeat.GetDigest())
	}
	if buckets := frame.GetBuckets(); len(buckets) > 0 {
		l.entryBuckets = t.differingBuckets(buckets)
	}
	if len(frame.GetEntryBuckets()) > 0 {
		names, wants := t.compareEntries(frame)
		l.wants = wants
		l.markDirty(names)
	}
	l.markDirty(t.recordNames(frame.GetWants()))
	return nil
}

// checkDigest compares the digest of a heartbeat with this node's. The node
// that accepted the stream starts the synchronization: at once on a new link,
// later after exchangeMismatches mismatches.
func (t *table) checkDigest(l *link, digest uint64) {
	if digest == t.digest() {
		l.mismatches = 0
		return
	}
	firstMismatch := l.mismatches == 0 && l.peer == ""
	l.mismatches++
	l.sendBuckets = l.sendBuckets || !l.outbound && (firstMismatch || l.mismatches%exchangeMismatches == 0)
}

func (l *link) markDirty(names []string) {
	for _, name := range names {
		l.dirty[name] = struct{}{}
	}
}

// urgent reports whether anything other than records is pending. It is sent
// without the batch delay.
func (l *link) urgent() bool {
	return l.sendHeartbeat || l.sendBuckets || l.entryBuckets != nil || l.wants != nil
}

// close closes the connection and signals done.
func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}
