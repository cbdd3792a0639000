package sycamorerun

import (
	"cmp"
	"fmt"
)

// Limits is the item that bounds the requests and connections of callers at
// every node. A field that is zero means the node's own setting.
type Limits struct {
	// Header bounds the bytes of a request's header.
	Header int `json:"header,omitempty"`
	// Body bounds the bytes of a request's body.
	Body int `json:"body,omitempty"`
	// Wait bounds the time from the first byte of a request, or from the opening
	// of a connection, to the end of the header.
	Wait Duration `json:"wait,omitempty"`
	// Idle is the time for which a connection without a request is kept.
	Idle Duration `json:"idle,omitempty"`
}

// Or returns l with the fields of other where those of l are zero.
func (l Limits) Or(other Limits) Limits {
	return Limits{
		Header: cmp.Or(l.Header, other.Header), Body: cmp.Or(l.Body, other.Body),
		Wait: cmp.Or(l.Wait, other.Wait), Idle: cmp.Or(l.Idle, other.Idle),
	}
}

// String formats l for a person.
func (l Limits) String() string {
	return fmt.Sprintf("header %d bytes, body %d bytes, wait %s, idle %s", l.Header, l.Body, l.Wait, l.Idle)
}
