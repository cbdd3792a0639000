package listener

import (
	"encoding/binary"
	"net/http"
)

const (
	prefaceBytes     = len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	frameHeaderBytes = 9
	// Types of the frames that carry header fields.
	frameHeaders      = 0x1
	frameContinuation = 0x9
	// compressedFactor is the most memory that a byte of compressed header fields can
	// cost, since one byte can stand for a field that was sent before. maxFieldsHeld
	// bounds the account of header fields, which have a limit of their own.
	compressedFactor = 128
	maxFieldsHeld    = 8 << 20
	// maxFramesHeld bounds the account of all other frames. It is the flow-control
	// window that net/http grants a connection.
	maxFramesHeld = 1 << 20
	// streamCost is what a request costs beside its header: the stack of its handler,
	// and the buffer of its response.
	streamCost = 16 << 10
)

// frames accounts for the HTTP/2 frames of a connection.
type frames struct {
	// seen counts the bytes of the preface, header those of a frame header.
	seen   int
	header [frameHeaderBytes]byte
	filled int
	// left is what is missing of the payload of the frame.
	left int
	// fieldsHeld is the account of header fields that have not reached a handler,
	// framesHeld that of all other frames.
	fieldsHeld, framesHeld int
	// epoch counts the resets, which drop the accounts of all streams.
	epoch int
}

// add returns the cost of received data.
func (f *frames) add(data []byte) int {
	before := f.fieldsHeld + f.framesHeld
	skipped := min(len(data), prefaceBytes-f.seen)
	f.seen += skipped
	for data = data[skipped:]; len(data) > 0; {
		if f.left == 0 {
			n := copy(f.header[f.filled:], data)
			f.filled += n
			data = data[n:]
			if f.filled < frameHeaderBytes {
				break
			}
			f.filled = 0
			f.left = int(binary.BigEndian.Uint32(f.header[:4]) >> 8)
			f.framesHeld = min(f.framesHeld+frameHeaderBytes, maxFramesHeld)
			continue
		}
		n := min(len(data), f.left)
		f.left -= n
		data = data[n:]
		switch f.header[3] {
		case frameHeaders, frameContinuation:
			f.fieldsHeld = min(f.fieldsHeld+compressedFactor*n, maxFieldsHeld)
		default:
			f.framesHeld = min(f.framesHeld+n, maxFramesHeld)
		}
	}
	return f.fieldsHeld + f.framesHeld - before
}

// reset drops the accounts after the last stream has ended.
func (f *frames) reset() {
	f.fieldsHeld, f.framesHeld = 0, 0
	f.epoch++
}

// accountStream accounts for the header of an HTTP/2 request by its size in memory, in
// place of the frames that it came in, until the returned function is called.
func (c *conn) accountStream(r *http.Request) (end func()) {
	if c.holder == nil || r.ProtoMajor != 2 {
		return func() {}
	}
	cost := int64(streamCost + headerCost(r))
	c.mutex.Lock()
	pending, epoch := int64(c.frames.fieldsHeld), c.frames.epoch
	c.frames.fieldsHeld = 0
	c.mutex.Unlock()
	c.holder.Add(cost - pending)
	return func() {
		c.mutex.Lock()
		current := c.frames.epoch == epoch
		c.mutex.Unlock()
		if current {
			c.holder.Add(-cost)
		}
	}
}

// headerCost returns what the header of a request costs in memory.
func headerCost(r *http.Request) int {
	cost := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			cost += fieldBytes + len(name) + len(value)
		}
	}
	return cost
}
