package acceptor

import (
	"maps"

	"sycamorerun"
	"sycamorerun/persister"
)

// Rejected is the kind under which an entry records a proposal that was
// turned down. The record follows that of the rejection.
const Rejected sycamorerun.ChangeKind = "rejected"

// history indexes the entries of the ring, for idempotence and for finding
// what changed since a base version.
type history struct {
	// first and last are the versions indexed without a gap; last is zero
	// when nothing is indexed.
	first, last sycamorerun.Version
	ids         map[string]decided
	changed     map[sycamorerun.Path]sycamorerun.Version
	slots       [persister.RingSlots][]string
}

type decided struct {
	version  sycamorerun.Version
	rejected bool
}

func newHistory() *history {
	return &history{ids: map[string]decided{}, changed: map[sycamorerun.Path]sycamorerun.Version{}}
}

// add indexes the entry that follows last and forgets the one that it
// replaces in the ring.
func (h *history) add(entry sycamorerun.Entry) {
	if h.last == 0 || entry.Version != h.last+1 {
		*h = *newHistory()
		h.first = entry.Version
	}
	slot := entry.Version % persister.RingSlots
	for _, id := range h.slots[slot] {
		delete(h.ids, id)
	}
	h.slots[slot] = nil
	for _, change := range entry.Changes {
		h.ids[change.ID] = decided{version: entry.Version, rejected: change.Kind == Rejected}
		h.slots[slot] = append(h.slots[slot], change.ID)
	}
	mark(h.changed, entry.Version, entry.Difference)
	h.last = entry.Version
	if h.last >= h.first+persister.RingSlots {
		h.first = h.last - persister.RingSlots + 1
	}
	// Once a round is often enough to bound the paths of removed items.
	if slot == 0 {
		maps.DeleteFunc(h.changed, func(_ sycamorerun.Path, version sycamorerun.Version) bool { return version < h.first })
	}
}

func mark(changed map[sycamorerun.Path]sycamorerun.Version, version sycamorerun.Version, difference sycamorerun.Difference) {
	for path := range difference.Put {
		changed[path] = version
	}
	for _, path := range difference.Remove {
		changed[path] = version
	}
}

// outcome returns how the change with id ended.
func (d decided) outcome(id string) sycamorerun.Outcome {
	if d.rejected {
		outcome := refuse(id, "rejected", "", "the proposal was rejected in version %d", d.version)
		outcome.Version = d.version
		return outcome
	}
	return sycamorerun.Outcome{ID: id, Status: sycamorerun.StatusAccepted, Version: d.version}
}
