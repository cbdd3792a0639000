package sycamorerun

import (
	"cmp"
	"fmt"
)

// Limits is the item that limits the requests and connections of callers at
// every node. A zero field means that the node's own setting applies.
type Limits struct {
	// Header is the maximum size of a request's header in bytes.
	Header int `json:"header,omitempty"`
	// Body is the maximum size of a request's body in bytes.
	Body int `json:"body,omitempty"`
	// Wait is the maximum time from the first byte of a request, or from the
	// opening of the connection, to the end of the header.
	Wait Duration `json:"wait,omitempty"`
	// Idle is the maximum time for which a connection stays open without a
	// request.
	Idle Duration `json:"idle,omitempty"`
}

// Or returns l with zero fields replaced by those of other.
func (l Limits) Or(other Limits) Limits {
	return Limits{
		Header: cmp.Or(l.Header, other.Header), Body: cmp.Or(l.Body, other.Body),
		Wait: cmp.Or(l.Wait, other.Wait), Idle: cmp.Or(l.Idle, other.Idle),
	}
}

// String formats l as human-readable text.
func (l Limits) String() string {
	return fmt.Sprintf("header %d bytes, body %d bytes, wait %s, idle %s", l.Header, l.Body, l.Wait, l.Idle)
}
