package distributor

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/encoder"
	"sycamorerun/node/planner"
)

const (
	// maxLargeReplies bounds the large replies written concurrently.
	maxLargeReplies = 4
	// largeReplyBytes is the size above which entries count as a large reply.
	largeReplyBytes = 64 << 10
	// smallReplyBytes is the size up to which entries are sent without comparing
	// their size with that of a snapshot, whose encoding would cost more than it
	// saves.
	smallReplyBytes = 4 << 10
	// minBusyRetry and maxBusyRetry bound the retry delay in a busy reply. Its
	// jitter keeps peers from retrying simultaneously.
	minBusyRetry = 100 * time.Millisecond
	maxBusyRetry = 500 * time.Millisecond
	// replyTimeout bounds the write of a reply.
	replyTimeout = 10 * time.Second
)

// Serve handles the messages on a stream that the peer named by from has opened.
func (d *Distributor) Serve(ctx context.Context, from string, stream net.Conn) {
	defer closeWith(ctx, stream)()
	for {
		message, err := readMessage(stream)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				level.Debug(d.Logger).Log("msg", "reading a message from the peer failed", "peer", from, "err", err)
			}
			return
		}
		if err := d.handle(ctx, from, stream, message); err != nil {
			level.Warn(d.Logger).Log("msg", "handling a message from the peer failed; closing the stream", "peer", from, "err", err)
			return
		}
	}
}

func (d *Distributor) handle(ctx context.Context, from string, stream net.Conn, message *Message) error {
	now := time.Now()
	switch kind := message.GetKind().(type) {
	case *Message_Push:
		return d.handlePush(now, from, kind.Push)
	case *Message_Have:
		delay := d.pullDelay()
		if kind.Have.GetDirect() {
			delay = 0
		}
		d.observeVersion(now, from, sycamorerun.Version(kind.Have.GetVersion()), delay+d.crossRegionDelay(from))
		return nil
	case *Message_Want:
		return d.handleWant(stream, kind.Want)
	case *Message_Survey:
		return d.handleSurvey(ctx, stream, kind.Survey)
	}
	return errors.New("unknown message kind")
}

// crossRegionDelay returns an additional delay for pulls from a peer in another
// region that is linked only in the second tree. The region's root in the first
// tree pulls first, so that the content is sent only once between the regions.
func (d *Distributor) crossRegionDelay(peer string) time.Duration {
	extra := time.Duration(0)
	for _, link := range d.Plan().Links {
		if link.Name == peer {
			if link.Tree == 0 || link.Role != planner.RoleRegion {
				return 0
			}
			extra = d.StandbyDelay()
		}
	}
	return extra
}

// handlePush accepts an entry from a peer. If earlier entries are missing, it
// schedules a pull from that peer. Damaged content is an error, and the version is
// pulled after the usual delay once a peer announces it.
func (d *Distributor) handlePush(now time.Time, from string, message *Push) error {
	version := sycamorerun.Version(message.GetVersion())
	if version <= d.HeldVersion() {
		d.count("distributor_duplicate_pushes", 1)
		d.observeVersion(now, from, version, d.pullDelay())
		return nil
	}
	entry, err := unpackEntry(message.GetEntry())
	if err == nil && entry.Version != version {
		err = errors.Errorf("push announces version %s but carries version %s", version, entry.Version)
	}
	if err == nil {
		err = d.accept(now, entry, message.GetEntry().GetData(), from)
	}
	switch {
	case errors.Is(err, errGap) && entry.BaseVersion() < d.HeldVersion():
		// Another watcher's entry based on this node's version may still
		// arrive, and costs less than a snapshot.
		d.observeVersion(now, from, version, d.pullDelay())
	case errors.Is(err, errGap):
		d.observeVersion(now, from, version, 0)
	case err != nil:
		d.count("distributor_damaged", 1)
		return errors.Wrap(err, "apply pushed entry")
	default:
		d.observeVersion(now, from, version, d.pullDelay())
	}
	return nil
}

// handleWant replies to Want. Beyond the concurrency limit, it sends a busy reply
// with a retry delay in place of a large reply.
func (d *Distributor) handleWant(stream net.Conn, want *Want) error {
	reply, large := d.buildReply(sycamorerun.Version(want.GetAfter()), want.GetProbe())
	if large {
		select {
		case d.replySlots <- struct{}{}:
			defer func() { <-d.replySlots }()
		default:
			d.count("distributor_busy", 1)
			wait := minBusyRetry + time.Duration(d.Random()*float64(maxBusyRetry-minBusyRetry))
			reply = &Reply{Version: reply.GetVersion(), Ready: reply.GetReady(), RetryMs: uint32(wait.Milliseconds())}
		}
	}
	_ = stream.SetWriteDeadline(time.Now().Add(replyTimeout))
	n, err := encoder.Write(stream, reply)
	d.count("distributor_sent_bytes", n)
	return err
}

// buildReply returns the reply to Want and whether it is large. It chooses
// between entries and a snapshot by size.
func (d *Distributor) buildReply(after sycamorerun.Version, probe bool) (reply *Reply, large bool) {
	held := d.HeldVersion()
	reply = &Reply{Version: uint64(held), Ready: d.Ready(), Watching: d.watching(time.Now())}
	if probe || after >= held {
		return reply, false
	}
	d.mutex.Lock()
	entries, size, ok := d.entryCache.after(after)
	d.mutex.Unlock()
	if !ok || size > max(smallReplyBytes, d.snapshotCache.size()/2) {
		tree, hash := d.Current()
		data, err := d.snapshotCache.get(tree, hash)
		if err != nil {
			level.Error(d.Logger).Log("msg", "encoding the snapshot failed", "version", tree.Version, "err", err)
		} else if tree.Version > after && (!ok || len(data) < size) {
			reply.Version = uint64(tree.Version)
			reply.Snapshot = pack(data)
			return reply, true
		}
	}
	total := 0
	for _, data := range entries {
		if total += len(data); total > maxContentBytes {
			break
		}
		reply.Entries = append(reply.Entries, pack(data))
	}
	return reply, size > largeReplyBytes
}

// snapshotCache keeps the stored encoding of the last requested snapshot.
type snapshotCache struct {
	mutex   sync.Mutex
	version sycamorerun.Version
	data    []byte
}

func (c *snapshotCache) get(tree sycamorerun.Tree, hash sycamorerun.Hash) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.data != nil && c.version == tree.Version {
		return c.data, nil
	}
	data, err := encodeSnapshot(tree, hash)
	if err == nil {
		c.version, c.data = tree.Version, data
	}
	return data, err
}

// size returns the size of the cached snapshot, regardless of its version.
func (c *snapshotCache) size() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.data)
}
