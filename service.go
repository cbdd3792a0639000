package sycamorerun

// Service is the item that describes a group of interchangeable upstreams.
type Service struct {
	// Slots is the maximum number of requests that an upstream executes
	// concurrently.
	Slots int `json:"slots"`
	// Queue is the maximum number of requests that wait for a slot.
	Queue int `json:"queue"`
	// Connections is the maximum number of open connections to an upstream.
	Connections int `json:"connections"`
	// Timeout is the maximum duration of a whole call.
	Timeout Duration `json:"timeout"`
	// Idle is the maximum time without progress during a call.
	Idle Duration `json:"idle"`
	// Warmup is the slow-start period, over which a new upstream's share of calls
	// rises.
	Warmup Duration `json:"warmup"`
	// Retries is the retry budget as a fraction of calls.
	Retries float64 `json:"retries"`
}
