package distributor

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/encoder"
	"sycamorerun/persister"
)

const (
	// pullTimeout bounds a pull. A hedged pull from another peer starts earlier.
	pullTimeout = 10 * time.Second
	// idleTimeout bounds the wait of a pull for the next bytes. Pulls from two
	// stalled peers must end before the change is due.
	idleTimeout = 2 * time.Second
)

// errNoProgress means that a peer with a newer version sent no usable content.
var errNoProgress = errors.New("peer reports a newer version but sent no usable content")

// runPulls starts the pulls that are due until ctx is done.
func (d *Distributor) runPulls(ctx context.Context) {
	for {
		peer, wait := d.nextPull(time.Now())
		if peer != "" {
			go d.pullFrom(ctx, peer)
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-d.wakePull:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (d *Distributor) nextPull(now time.Time) (string, time.Duration) {
	if d.Mode == Poll {
		return "", maxIdleWait
	}
	held, linked := d.HeldVersion(), linkedPeers(d.Plan().Links)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	peer, wait := d.pulls.next(now, held, func(name string) bool { return linked[name] })
	if peer != "" {
		d.pulls.startPull(now, peer)
	}
	return peer, wait
}

// pullFrom requests the versions above the held one from peer and records the
// result.
func (d *Distributor) pullFrom(ctx context.Context, peer string) {
	before := d.HeldVersion()
	reply, err := d.request(ctx, peer, before, false, pullTimeout)
	if err == nil {
		err = d.acceptReply(time.Now(), peer, reply)
	}
	held := d.HeldVersion()
	version := sycamorerun.Version(reply.GetVersion())
	retry := time.Duration(reply.GetRetryMs()) * time.Millisecond
	if err == nil && version > held && held == before && retry == 0 {
		err = errNoProgress
	}
	d.count("distributor_pulls", 1)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil {
		d.pulls.failPull(time.Now(), peer, d.Random())
		level.Debug(d.Logger).Log("msg", "pull failed", "peer", peer, "err", err)
	} else {
		d.pulls.finishPull(time.Now(), peer, version, min(retry, maxPullRetry))
	}
	signal(d.wakePull)
}

// request sends Want on a new stream and reads the reply.
func (d *Distributor) request(ctx context.Context, peer string, after sycamorerun.Version, probe bool, timeout time.Duration) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := d.open(ctx, peer, idleTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	defer closeWith(ctx, stream)()
	_ = stream.SetWriteDeadline(time.Now().Add(idleTimeout))
	n, err := encoder.Write(stream, newWant(after, probe))
	if err != nil {
		return nil, err
	}
	d.count("distributor_sent_bytes", n)
	return readReply(idleTimeoutConn{stream})
}

// idleTimeoutConn fails a read that waits longer than idleTimeout.
type idleTimeoutConn struct{ net.Conn }

func (c idleTimeoutConn) Read(data []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	return c.Conn.Read(data)
}

// acceptReply accepts the entries and the snapshot of a reply.
func (d *Distributor) acceptReply(now time.Time, peer string, reply *Reply) error {
	for _, packed := range reply.GetEntries() {
		entry, err := unpackEntry(packed)
		if err != nil {
			return err
		}
		if err := d.accept(now, entry, packed.GetData(), peer); err != nil {
			return err
		}
	}
	if reply.GetSnapshot() == nil {
		return nil
	}
	tree, hash, err := unpackSnapshot(reply.GetSnapshot())
	if err != nil {
		return err
	}
	return d.installSnapshot(now, tree, hash, peer)
}

// acceptLogObject applies a log object from the store. The error wraps
// persister.ErrUndecodable if the object holds no entry of its slot.
func (d *Distributor) acceptLogObject(now time.Time, object persister.Object) error {
	entry, err := persister.DecodeLogObject(object)
	if err != nil {
		return err
	}
	return d.accept(now, entry, object.Value, "")
}
