package sycamorerun

// Class is the priority class of a call. Under overload, background calls are
// shed first and interactive calls last.
type Class string

// Call classes.
const (
	Interactive Class = "interactive"
	Bulk        Class = "bulk"
	Background  Class = "background"
)

// Values of Route.Repeat, which determines whether calls may be sent again.
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
	// Timeout is the maximum duration of a call on this route. Zero means the
	// service's timeout.
	Timeout Duration `json:"timeout,omitempty"`
	// Attempts is the maximum number of upstreams to which a call is sent. Zero
	// means the node's default.
	Attempts int `json:"attempts,omitempty"`
	// Objective is the latency objective: a response is of full value to the
	// caller within it. Zero means none.
	Objective Duration `json:"objective,omitempty"`
	// Rank is the priority of calls in an upstream's queue, 1 being the highest.
	// Zero means the rank of the class.
	Rank int `json:"rank,omitempty"`
	// Public says that requests need no key of a client account.
	Public bool `json:"public,omitempty"`
}

// Target is a weighted destination of a route.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}
