package distributor

import "sycamorerun"

const (
	maxQueuedFrames = 32
	maxQueuedBytes  = 1 << 20
)

// queue holds what a link is about to send, bounded in frames and bytes. On
// overflow the frames give way to one Have of the newest version, after which
// the peer pulls at its own pace.
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

// collapse replaces the frames by a Have of version.
func (q *queue) replaceWithHave(version sycamorerun.Version) {
	*q = queue{haveVersion: max(q.haveVersion, version), haveDirect: true}
}

func (q *queue) addHave(version sycamorerun.Version) { q.haveVersion = max(q.haveVersion, version) }

// next removes the oldest frame.
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
