package server

import "sync"

// callers bounds the number of callers with their own statistics; further
// callers are counted together under the empty name.
const callers = 16 << 10

// Usage counts the calls of one caller. Bytes are those of the bodies.
type Usage struct {
	Reads    int64 `json:"reads"`
	Writes   int64 `json:"writes"`
	Limited  int64 `json:"limited"`
	Watches  int64 `json:"watches"`
	Received int64 `json:"received"`
	Sent     int64 `json:"sent"`
}

// Stats is the answer to GET /stats.
type Stats struct {
	Objects  int              `json:"objects"`
	Revision uint64           `json:"revision"`
	Total    Usage            `json:"total"`
	Callers  map[string]Usage `json:"callers"`
}

type usages struct {
	mu    sync.Mutex
	total Usage
	by    map[string]*Usage
}

func (u *usages) add(caller string, change func(*Usage)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	usage, ok := u.by[caller]
	if !ok && len(u.by) >= callers {
		caller = ""
		usage, ok = u.by[caller]
	}
	if !ok {
		usage = &Usage{}
		u.by[caller] = usage
	}
	change(usage)
	change(&u.total)
}

func (u *usages) stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := Stats{Total: u.total, Callers: make(map[string]Usage, len(u.by))}
	for caller, usage := range u.by {
		stats.Callers[caller] = *usage
	}
	return stats
}
