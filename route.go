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
}

// Target is one weighted destination of a route.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}
