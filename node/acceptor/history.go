package acceptor

import (
	"maps"

	"sycamorerun"
	"sycamorerun/persister"
)

// Rejected is the kind under which an entry records a rejected proposal, after
// the record of the change that rejected it.
const Rejected sycamorerun.ChangeKind = "rejected"

// history indexes the entries of the ring by change id, which makes changes
// idempotent, and by path, to detect what changed since a base version.
type history struct {
	// first and last delimit the indexed versions, which have no gap. last is
	// zero when nothing is indexed.
	first, last sycamorerun.Version
	byID        map[string]recordedChange
	lastChanged map[sycamorerun.Path]sycamorerun.Version
	// idsBySlot holds the ids to remove from byID when a slot is reused.
	idsBySlot [persister.RingSlots][]string
}

// recordedChange is the result of a change in the log.
type recordedChange struct {
	version  sycamorerun.Version
	rejected bool
}

func newHistory() *history {
	return &history{byID: map[string]recordedChange{}, lastChanged: map[sycamorerun.Path]sycamorerun.Version{}}
}

// add indexes entry and removes the ids of the entry that it replaces in the ring.
// An entry that does not follow last starts a new index.
func (h *history) add(entry sycamorerun.Entry) {
	if h.last == 0 || entry.Version != h.last+1 {
		*h = *newHistory()
		h.first = entry.Version
	}
	slot := entry.Version % persister.RingSlots
	for _, id := range h.idsBySlot[slot] {
		delete(h.byID, id)
	}
	h.idsBySlot[slot] = nil
	for _, change := range entry.Changes {
		h.byID[change.ID] = recordedChange{version: entry.Version, rejected: change.Kind == Rejected}
		h.idsBySlot[slot] = append(h.idsBySlot[slot], change.ID)
	}
	markChanged(h.lastChanged, entry.Version, entry.Difference)
	h.last = entry.Version
	if h.last >= h.first+persister.RingSlots {
		h.first = h.last - persister.RingSlots + 1
	}
	// Pruning once per RingSlots versions is enough to limit the number of paths
	// of removed items.
	if slot == 0 {
		maps.DeleteFunc(h.lastChanged, func(_ sycamorerun.Path, version sycamorerun.Version) bool { return version < h.first })
	}
}

// markChanged records version as the last change of each path in difference.
func markChanged(changed map[sycamorerun.Path]sycamorerun.Version, version sycamorerun.Version, difference sycamorerun.Difference) {
	for path := range difference.Put {
		changed[path] = version
	}
	for _, path := range difference.Remove {
		changed[path] = version
	}
}

// outcome returns the outcome of the change with id.
func (c recordedChange) outcome(id string) sycamorerun.Outcome {
	if c.rejected {
		outcome := refuse(id, "rejected", "", "the proposal was rejected in version %d", c.version)
		outcome.Version = c.version
		return outcome
	}
	return sycamorerun.Outcome{ID: id, Status: sycamorerun.StatusAccepted, Version: c.version}
}
