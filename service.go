package sycamorerun

// Service is the item that describes a group of equal upstreams.
type Service struct {
	// Slots is the number of requests an upstream runs at once.
	Slots int `json:"slots"`
	// Queue is the number of requests that may wait for a slot.
	Queue int `json:"queue"`
	// Connections bounds the open connections to one upstream.
	Connections int `json:"connections"`
	// Timeout bounds a whole call.
	Timeout Duration `json:"timeout"`
	// Idle bounds the time without progress within a call.
	Idle Duration `json:"idle"`
	// Warmup is the time over which a new upstream's share of calls rises.
	Warmup Duration `json:"warmup"`
	// Retries is the budget of retries as a fraction of calls.
	Retries float64 `json:"retries"`
}
