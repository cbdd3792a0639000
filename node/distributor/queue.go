package distributor

import "sycamorerun"

const (
	queueFrames = 32
	queueBytes  = 1 << 20
)

// queue holds what a link is about to send, bounded in frames and bytes. On
// overflow the frames give way to one Have of the newest version, after which
// the peer pulls at its own pace.
type queue struct {
	frames [][]byte
	bytes  int
	have   sycamorerun.Version
	direct bool
}

func (q *queue) push(version sycamorerun.Version, frame []byte) {
	full := len(q.frames) >= queueFrames || q.bytes+len(frame) > queueBytes && len(q.frames) > 0
	if full || q.direct {
		q.collapse(version)
		return
	}
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
}

// collapse replaces the frames by a Have of version.
func (q *queue) collapse(version sycamorerun.Version) {
	*q = queue{have: max(q.have, version), direct: true}
}

func (q *queue) announce(version sycamorerun.Version) { q.have = max(q.have, version) }

// next removes the oldest frame.
func (q *queue) next() ([]byte, bool) {
	if len(q.frames) > 0 {
		next := q.frames[0]
		q.frames[0] = nil
		q.frames = q.frames[1:]
		q.bytes -= len(next)
		return next, true
	}
	if q.have > 0 {
		next := frame(have(q.have, q.direct))
		q.have, q.direct = 0, false
		return next, true
	}
	return nil, false
}
