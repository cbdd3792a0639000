package announcer

import "time"

// candidate is a boot or a sequence with a lower number than the current one that
// may nevertheless be newer.
type candidate struct {
	id          string
	boot        int64
	since, last time.Time
	sequence    uint64
}

// confirmCandidate reports whether a boot that may be older than the current
// one has announced itself with rising sequences for replacePeriods.
func (a *Announcer) confirmCandidate(now time.Time, in Announcement) bool {
	c := &a.candidate
	if c.id != in.ID || c.boot != in.Boot || now.Sub(c.last) >= unavailablePeriods*a.period() {
		*c = candidate{id: in.ID, boot: in.Boot, since: now}
	} else if in.Sequence <= c.sequence {
		return false
	}
	c.last, c.sequence = now, in.Sequence
	return serving(in.State) && now.Sub(c.since) >= replacePeriods*a.period()
}
