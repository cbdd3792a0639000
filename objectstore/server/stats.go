package server

import "sync"

// maxCallers bounds the number of callers with statistics of their own. Further
// callers are counted together under the empty name.
const maxCallers = 16 << 10

// Usage counts the calls of one caller. Received and Sent count the bytes of the
// bodies, Watches is the number of watches in progress.
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

// usageTable has the usage of each caller and of all.
type usageTable struct {
	mu       sync.Mutex
	total    Usage
	byCaller map[string]*Usage
}

func (u *usageTable) add(caller string, update func(*Usage)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	usage, ok := u.byCaller[caller]
	if !ok && len(u.byCaller) >= maxCallers {
		caller = ""
		usage, ok = u.byCaller[caller]
	}
	if !ok {
		usage = &Usage{}
		u.byCaller[caller] = usage
	}
	update(usage)
	update(&u.total)
}

func (u *usageTable) stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := Stats{Total: u.total, Callers: make(map[string]Usage, len(u.byCaller))}
	for caller, usage := range u.byCaller {
		stats.Callers[caller] = *usage
	}
	return stats
}
