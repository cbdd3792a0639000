package server

import (
	"sync"

	"sycamorerun"
)

// Behavior is the configuration that tests change at run time.
type Behavior struct {
	// State is the announced state.
	State sycamorerun.State `json:"state"`
	// Shed rejects every request with status 503.
	Shed bool `json:"shed"`
	// Silent accepts requests and never answers.
	Silent bool `json:"silent"`
	// Cut closes the connection in place of an answer and doesn't execute the
	// request.
	Cut bool `json:"cut"`
	// PropagateFailure closes the connection when the next call of a chain fails, in
	// place of an answer.
	PropagateFailure bool `json:"spread"`
	// Health overrides the status of the health endpoint when it is not zero.
	Health int `json:"health"`
	// Load overrides the reported load, a fraction of the slots, when positive.
	Load float64 `json:"load"`
	// Slots overrides the announced slots when positive. The number of requests
	// that run at once stays the same.
	Slots int `json:"slots"`
	// Delay is added to each request, in milliseconds.
	Delay int `json:"delay"`
	// Fail, Lose, Truncate, Surplus and Extra are shares of the requests, from 0 to
	// 1. Fail answers with status 500 without executing the request. It doesn't
	// affect the health endpoint.
	Fail float64 `json:"fail"`
	// Lose executes the request and closes the connection in place of a response.
	Lose float64 `json:"lose"`
	// Truncate closes the connection in the middle of the response's body.
	Truncate float64 `json:"truncate"`
	// Surplus sends bytes after the complete response, on the open connection.
	Surplus float64 `json:"surplus"`
	// Extra sends the response a second time after extraDelay.
	Extra float64 `json:"extra"`
	// Reset resets the connection of a request when slots and queue are full.
	Reset bool `json:"reset"`
	// Hang never answers a request when slots and queue are full, nor any later one
	// on its connection.
	Hang bool `json:"hang"`
}

// behaviorState holds the current Behavior. It is safe for concurrent use.
type behaviorState struct {
	mutex   sync.Mutex
	current Behavior
}

func (b *behaviorState) get() Behavior {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.current
}

func (b *behaviorState) set(next Behavior) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.current = next
}
