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
	"sycamorerun/persister"
)

const (
	// maxServed bounds the large answers written at once.
	maxLargeReplies = 4
	// largeBytes is the size above which entries count as a large answer.
	largeReplyBytes = 64 << 10
	// smallBytes is the size up to which entries are sent without packing a
	// snapshot to compare with: the packing would cost more than it saves.
	smallReplyBytes = 4 << 10
	// busyRetryLeast and busyRetryMost bound the "retry after" of a busy
	// node; the spread keeps refused peers from returning at once.
	minBusyRetry = 100 * time.Millisecond
	maxBusyRetry = 500 * time.Millisecond
	// answerTimeout bounds the writing of one answer.
	replyTimeout = 10 * time.Second
)

// Serve handles a stream that the peer called from has opened.
func (d *Distributor) Serve(ctx context.Context, from string, stream net.Conn) {
	defer closeWith(ctx, stream)()
	for {
		message, err := readMessage(stream)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				level.Debug(d.Logger).Log("msg", "stream ended", "peer", from, "err", err)
			}
			return
		}
		if err := d.handle(ctx, from, stream, message); err != nil {
			level.Warn(d.Logger).Log("msg", "message failed", "peer", from, "err", err)
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
	return errors.New("message of unknown kind")
}

// detour is an additional delay for a peer in another region that is linked in
// the second tree only. The region's first member in the first tree pulls
// first, so that the content crosses the link between the regions once.
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

// pushed takes an entry from a peer. A push that cannot be used makes the
// version one to pull: from this peer when entries before it are missing, by
// the ordinary delay when its content is damaged.
func (d *Distributor) handlePush(now time.Time, from string, message *Push) error {
	version := sycamorerun.Version(message.GetVersion())
	if version <= d.HeldVersion() {
		d.count("distributor_duplicate_pushes", 1)
		d.observeVersion(now, from, version, d.pullDelay())
		return nil
	}
	entry, err := unpackEntry(message.GetEntry())
	if err == nil && entry.Version != version {
		err = errors.Errorf("push of version %s carries %s", version, entry.Version)
	}
	if err == nil {
		err = d.accept(now, entry, message.GetEntry().GetData(), from)
	}
	switch {
	case errors.Is(err, errGap) && entry.Basis() < d.HeldVersion():
		// Another watcher's entry that is based on this node's version may be
		// on its way, and costs less than a snapshot.
		d.observeVersion(now, from, version, d.pullDelay())
	case errors.Is(err, errGap):
		d.observeVersion(now, from, version, 0)
	case err != nil:
		d.count("distributor_damaged", 1)
		return errors.Wrap(err, "push")
	default:
		d.observeVersion(now, from, version, d.pullDelay())
	}
	return nil
}

// answer replies to Want. Large answers beyond the limit are refused with a
// time to wait.
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

// reply chooses between entries and a snapshot by size.
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
			level.Error(d.Logger).Log("msg", "snapshot not packed", "version", tree.Version, "err", err)
		} else if tree.Version > after && (!ok || len(data) < size) {
			reply.Version = uint64(tree.Version)
			reply.Snapshot = pack(data)
			return reply, true
		}
	}
	total := 0
	for _, data := range entries {
		if total += len(data); total > persister.ValueBytes {
			break
		}
		reply.Entries = append(reply.Entries, pack(data))
	}
	return reply, size > largeReplyBytes
}

// snapshotCache keeps the stored form of the last snapshot that was asked for.
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
	data, err := persister.EncodeSnapshot(tree, hash)
	if err == nil {
		c.version, c.data = tree.Version, data
	}
	return data, err
}

// size returns the size of the last snapshot, whatever its version.
func (c *snapshotCache) size() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.data)
}
