package sycamorerun

// Account is the item that describes a client account. Its name is that of the
// item.
type Account struct {
	// Label is the name under which upstreams know the account. If it is empty,
	// they get the name of the item.
	Label string `json:"label,omitempty"`
	// Keys are the hashes of the keys that authenticate the account, each
	// "sha256:" followed by the hex SHA-256 of the key.
	Keys []string `json:"keys,omitempty"`
	// Rank is the priority of the account's calls, from 1, the highest. It takes
	// precedence over the rank of a route. Zero means that the route's applies.
	Rank int `json:"rank,omitempty"`
	// Rate is the number of requests a second that all nodes together admit, and
	// Burst the number beyond it that they admit at once. A Rate of zero means no
	// limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}
