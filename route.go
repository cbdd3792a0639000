package sycamorerun

// Class ranks calls when load is shed: background first, interactive last.
type Class string

// Classes of calls.
const (
	Interactive Class = "interactive"
	Bulk        Class = "bulk"
	Background  Class = "background"
)

// Values of Route.Repeat.
const (
	RepeatDefault = "default"
	RepeatAlways  = "always"
	RepeatNever   = "never"
)

// Route is the item that sends matching requests to services.
type Route struct {
	Hosts   []string          `json:"hosts,omitempty"`
	Prefix  string            `json:"prefix"`
	Methods []string          `json:"methods,omitempty"`
	Headers map[string]string `json:"headers,omitempty"`
	Class   Class             `json:"class"`
	Repeat  string            `json:"repeat"`
	Split   []Target          `json:"split"`
	// Timeout bounds a call on this route; zero means the service's timeout.
	Timeout Duration `json:"timeout,omitempty"`
	// Attempts bounds the upstreams that one call is sent to; zero means the
	// default of the node.
	Attempts int `json:"attempts,omitempty"`
	// Objective is the latency within which a response has its full value;
	// zero means none.
	Objective Duration `json:"objective,omitempty"`
	// Rank orders the calls of an upstream's queue, 1 first; zero means the
	// rank of the class.
	Rank int `json:"rank,omitempty"`
}

// Target is one weighted destination of a route.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}
