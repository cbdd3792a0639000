package server

import (
	"sync"

	"sycamorerun"
)

// Behavior is what can be told to the upstream at run time.
type Behavior struct {
	// State is what the upstream announces.
	State sycamorerun.State `json:"state"`
	// Shed refuses every request with status 503.
	Shed bool `json:"shed"`
	// Silent accepts requests and never answers.
	Silent bool `json:"silent"`
	// Cut closes the connection after reading the request, before an answer.
	Cut bool `json:"cut"`
	// Spread closes the connection when the next call of a chain fails, in
	// place of an answer.
	Spread bool `json:"spread"`
	// Health is the status of the health endpoint, whatever the truth is.
	Health int `json:"health"`
	// Load overrides the reported load, a fraction of the slots, when positive.
	Load float64 `json:"load"`
	// Slots overrides the announced slots when positive; it changes nothing in
	// what runs at once.
	Slots int `json:"slots"`
	// Delay is added to each request, in milliseconds.
	Delay int `json:"delay"`
	// Fail, Lose, Truncate, Surplus and Extra are shares of the requests. Fail
	// answers with status 500 without a run, while the health endpoint is good.
	Fail float64 `json:"fail"`
	// Lose runs the request and cuts the connection in place of a response.
	Lose float64 `json:"lose"`
	// Truncate cuts the connection in the middle of the response's body.
	Truncate float64 `json:"truncate"`
	// Surplus sends bytes after the complete response, on the open connection.
	Surplus float64 `json:"surplus"`
	// Extra sends the response once more after some milliseconds.
	Extra float64 `json:"extra"`
	// Reset resets connections whose requests find slots and queue full.
	Reset bool `json:"reset"`
}

// behaviors holds the current Behavior for concurrent readers.
type behaviors struct {
	mutex   sync.Mutex
	current Behavior
}

func (b *behaviors) get() Behavior {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.current
}

func (b *behaviors) set(next Behavior) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.current = next
}
