package listener

import (
	"bytes"
	"time"

	"sycamorerun/node/governor"
)

const (
	// fieldBytes is what a header field costs in memory beside its bytes on the wire:
	// its entry in the map of the request, and in the copies that are sent on.
	fieldBytes = 256
	// defaultBodyHeld is the BodyHeld of a new Listener: the buffer of a body that is
	// sent on.
	defaultBodyHeld = 64 << 10
	// responseFactor is how much is held for a response while a part of it is written:
	// further parts wait in the buffers of the stream that it comes from, which hold
	// streamBytes at most.
	responseFactor = 8
	streamBytes    = 256 << 10
)

// hold calls use with the account of the connection, if there is one.
func (c *conn) hold(use func(*governor.Holder)) {
	if c.holder != nil {
		use(c.holder)
	}
}

// account adds received data to the account of the connection.
func (c *conn) account(data []byte) {
	if c.holder == nil || len(data) == 0 {
		return
	}
	c.mutex.Lock()
	var cost int
	if c.firstRequest && c.headerBytes < len(c.prefix) {
		c.frames.add(data) // whether these are frames is known after the prefix
	}
	switch {
	case c.http2:
		cost = c.frames.add(data)
	case c.phase == serving:
		cost = min(len(data), c.listener.BodyHeld-c.bodyHeld)
		c.bodyHeld += cost
	default:
		cost = len(data) + fieldBytes*bytes.Count(data, []byte{'\n'})
	}
	c.mutex.Unlock()
	if cost > 0 && c.holder.Add(int64(cost)) {
		c.holder.Await()
	}
}

// Write implements net.Conn. What waits for a caller that does not read is accounted
// for.
func (c *conn) Write(p []byte) (int, error) {
	if c.holder == nil {
		return c.Conn.Write(p)
	}
	held := int64(len(p) + min((responseFactor-1)*len(p), streamBytes))
	c.holder.Add(held)
	n, err := c.Conn.Write(p)
	c.holder.Add(-held)
	return n, err
}

// evict ends the connection to make room for others. A request that was not read
// completely gets a response.
func (c *conn) evict() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evicted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
}

func (c *conn) isEvicted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.evicted
}
