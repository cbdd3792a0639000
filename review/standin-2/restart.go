package main

import (
	"sync"
	"time"
)

func init() { cases["restart"] = playRestart }

const (
	// regionDelay is the one-way delay between two regions.
	regionDelay = 20 * time.Millisecond
	// workTime is how long a worker works on a booking.
	workTime = 80 * time.Millisecond
	// bookingInterval is the time between two bookings, killInterval that between two
	// kills.
	bookingInterval = 20 * time.Millisecond
	killInterval    = 4 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 10 * time.Millisecond
	restartPlay  = 46 * time.Second
)

// playRestart kills the node beside a worker while bookings run there, and starts it
// again after a short delay.
func playRestart(l *lab) error {
	if err := l.store.putSpec("config", "main", configuration(1, []string{"quote-desk", "survey-store"},
		route{"booking", "/booking/", "non_idempotent", "quote-desk", 2 * time.Second})); err != nil {
		return err
	}
	var workers []*worker
	var nodes []*node
	for _, place := range []struct{ name, zone, region, service string }{
		{"sidecar-kgl-a-1", "kgl-a", "kigali", "survey-store"},
		{"sidecar-msz-a-1", "msz-a", "north", "quote-desk"},
		{"sidecar-hye-a-1", "hye-a", "south", "quote-desk"},
	} {
		w, err := l.startWorker("i-"+place.zone, place.service, place.zone, workTime)
		if err != nil {
			return err
		}
		n, err := l.addNode(place.name, place.zone, place.region, place.service, w.address, regionDelay)
		if err != nil {
			return err
		}
		go w.keepAnnouncing(n)
		workers, nodes = append(workers, w), append(nodes, n)
	}
	if !l.awaitReady(15 * time.Second) {
		return errNotReady
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var mutex sync.Mutex
	answers := map[string]answer{}
	ticker := time.NewTicker(bookingInterval)
	defer ticker.Stop()
	started := time.Now()
	nextKill := started.Add(killInterval)
	kills := 0
	for now := range ticker.C {
		if now.Sub(started) > restartPlay {
			break
		}
		group.Go(func() {
			a := l.send(nodes[0].callers, "POST", "/booking/1", []byte("deposit"), 2*time.Second)
			mutex.Lock()
			answers[a.id] = a
			mutex.Unlock()
		})
		if l.trouble && now.After(nextKill) {
			victim := nodes[1+kills%2]
			kills++
			nextKill = now.Add(killInterval)
			group.Go(func() {
				l.note("SIGKILL to %s", victim.name)
				victim.kill()
				time.Sleep(restartDelay)
				if err := victim.start(); err != nil {
					l.note("start of %s: %v", victim.name, err)
				}
				l.note("started %s again", victim.name)
			})
		}
	}
	group.Wait()
	l.judgeRuns(workers, answers)
	return nil
}

// judgeRuns checks TWICE and REFUSED for requests that aren't idempotent.
func (l *lab) judgeRuns(workers []*worker, answers map[string]answer) {
	runs := map[string][]string{}
	for _, w := range workers {
		w.mutex.Lock()
		for _, r := range w.runs {
			runs[r.id] = append(runs[r.id], w.id)
		}
		w.mutex.Unlock()
	}
	counts := map[int]int{}
	for id, a := range answers {
		counts[a.status]++
		if at := runs[id]; len(at) > 1 {
			l.breach("TWICE: request %s ran at %v; %s", id, at, a)
		}
		if len(runs[id]) > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			l.breach("REFUSED: request %s ran at %v; %s", id, runs[id], a)
		}
	}
	l.note("%d requests, answers by status: %v", len(answers), counts)
}
