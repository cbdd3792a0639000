package deduplicator

import (
	"context"
	"maps"
	"slices"
	"time"
)

const (
	// resultTimeout bounds the sending of results, so that a suspended member does not
	// delay the results for the others.
	resultTimeout = time.Second
	// minResultRetryInterval is the delay before results that could not be sent are
	// sent again. It doubles with each failure up to maxResultRetryInterval.
	minResultRetryInterval = 50 * time.Millisecond
	maxResultRetryInterval = time.Second
)

// queueResult queues the result of a request for the new owner if its key has been
// handed over meanwhile. A request that did not run stays uncertain there.
func (d *Deduplicator) queueResult(name string) {
	member, ok := d.resultRecipients[name]
	if !ok {
		return
	}
	delete(d.resultRecipients, name)
	if d.hasResult(name) {
		d.results[name] = member
		signal(d.resultsReady)
	}
}

// hasResult reports whether the record of a key is certain and has not expired.
func (d *Deduplicator) hasResult(name string) bool {
	known, ok := d.keys.records[name]
	return ok && known.certain
}

// DrainResults removes and returns the records of requests that were running when
// their keys were handed over and have ended since, for each recipient. retry includes
// those that could not be sent before. A record that has expired is dropped, since its
// recipient keeps the key no longer. One that no other member needs now is kept: its
// recipient may become a member again.
func (d *Deduplicator) DrainResults(now time.Time, retry bool) map[Member][]Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.expire(now)
	if len(d.membership.joiners) > 0 {
		d.updateCurrent(now)
	}
	if retry {
		maps.Copy(d.results, d.unsentResults)
		clear(d.unsentResults)
	}
	records := map[Member][]Record{}
	for name, newOwner := range d.results {
		recipient := d.resultRecipient(name, newOwner)
		switch {
		case !d.hasResult(name):
		case recipient == (Member{}) || recipient.Name == d.Self:
			d.unsentResults[name] = newOwner
		default:
			records[recipient] = append(records[recipient], d.keys.record(name))
		}
	}
	clear(d.results)
	return records
}

// resultRecipient returns the member that needs the result for a key that was handed
// over to newOwner. If newOwner is no longer a member, it is the current owner, which
// may have got the uncertain record from newOwner. It is the zero Member if there are
// no members.
func (d *Deduplicator) resultRecipient(name string, newOwner Member) Member {
	if slices.Contains(d.membership.current, newOwner) {
		return newOwner
	}
	return ownerIn(name, d.membership.current)
}

// KeepResults keeps results that could not be sent to member until DrainResults
// returns them again.
func (d *Deduplicator) KeepResults(member Member, records []Record) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, record := range records {
		d.unsentResults[record.Key.Name] = member
	}
}

// hasUnsentResults reports whether there are results that could not be sent.
func (d *Deduplicator) hasUnsentResults() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.unsentResults) > 0
}

// runResults sends results until ctx ends. Those that could not be sent are retried
// with exponential backoff while their records are kept: a process that has just
// joined can be unknown to the membership, and another one suspended. New results do
// not trigger a retry, so that the rate of retries is bounded.
func (e *Exchanger) runResults(ctx context.Context) {
	interval := minResultRetryInterval
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Records.resultsReady:
			e.sendResults(ctx, false)
		case <-retry:
			retry, interval = nil, min(2*interval, maxResultRetryInterval)
			e.sendResults(ctx, true)
		}
		if !e.Records.hasUnsentResults() {
			retry, interval = nil, minResultRetryInterval
		} else if retry == nil {
			retry = time.After(interval)
		}
	}
}

// SendResults sends the results of requests that ended after their keys were handed
// over to the new owners, including those that could not be sent before. It makes one
// attempt.
func (e *Exchanger) SendResults(ctx context.Context) { e.sendResults(ctx, true) }

func (e *Exchanger) sendResults(ctx context.Context, retry bool) {
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	results := e.Records.DrainResults(e.Now(), retry)
	for _, member := range e.handOver(ctx, results) {
		e.Records.KeepResults(member, results[member])
	}
}
