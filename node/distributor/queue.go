package distributor

import "sycamorerun"

const (
	maxQueuedFrames = 32
	maxQueuedBytes  = 1 << 20
)

// queue holds the frames that a link has yet to send, bounded in number and
// bytes. On overflow a single Have of the newest version replaces the frames, and
// the peer pulls at its own rate.
type queue struct {
	frames      [][]byte
	bytes       int
	haveVersion sycamorerun.Version
	haveDirect  bool
}

func (q *queue) addPush(version sycamorerun.Version, frame []byte) {
	full := len(q.frames) >= maxQueuedFrames || q.bytes+len(frame) > maxQueuedBytes && len(q.frames) > 0
	if full || q.haveDirect {
		q.replaceWithHave(version)
		return
	}
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
}

// replaceWithHave replaces the frames with a direct Have of version.
func (q *queue) replaceWithHave(version sycamorerun.Version) {
	*q = queue{haveVersion: max(q.haveVersion, version), haveDirect: true}
}

func (q *queue) addHave(version sycamorerun.Version) { q.haveVersion = max(q.haveVersion, version) }

// next removes and returns the oldest frame, or a pending Have after the last
// frame.
func (q *queue) next() ([]byte, bool) {
	if len(q.frames) > 0 {
		next := q.frames[0]
		q.frames[0] = nil
		q.frames = q.frames[1:]
		q.bytes -= len(next)
		return next, true
	}
	if q.haveVersion > 0 {
		next := encodeFrame(newHave(q.haveVersion, q.haveDirect))
		q.haveVersion, q.haveDirect = 0, false
		return next, true
	}
	return nil, false
}
