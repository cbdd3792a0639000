package main

import (
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["config"] = playConfig }

const (
	// configApply is the bound `config_apply` of the site.
	configApply = 2500 * time.Millisecond
	// changeInterval is the time between two changes of the configuration.
	changeInterval = 6 * time.Second
	callInterval   = 25 * time.Millisecond
	callTimeout    = 2 * time.Second
)

// call is a request of a client, with the time at which it was sent.
type call struct {
	path   string
	sentAt time.Time
	answer answer
}

// fleet starts one worker and node for each service and waits until they are ready.
func (l *lab) fleet(services ...string) ([]*worker, []*node, error) {
	var workers []*worker
	var nodes []*node
	for i, service := range services {
		zone := []string{"kgl-a", "kgl-b"}[i%2]
		w, err := l.startWorker("i-"+service, service, zone, 20*time.Millisecond)
		if err != nil {
			return nil, nil, err
		}
		n, err := l.addNode("sidecar-"+zone+"-1", zone, "kigali", service, w.address, 0)
		if err != nil {
			return nil, nil, err
		}
		go w.keepAnnouncing(n)
		workers, nodes = append(workers, w), append(nodes, n)
	}
	if !l.awaitReady(15 * time.Second) {
		return nil, nil, errNotReady
	}
	time.Sleep(3 * time.Second)
	return workers, nodes, nil
}

// callAll sends requests for a time, to the nodes and paths in turn, and returns them.
func (l *lab) callAll(nodes []*node, duration time.Duration, paths ...string) []call {
	var group sync.WaitGroup
	var mutex sync.Mutex
	var calls []call
	started := time.Now()
	for i := 0; time.Since(started) < duration; i++ {
		path, now, to := paths[i%len(paths)], time.Now(), nodes[i/len(paths)%len(nodes)].callers
		group.Go(func() {
			a := l.send(to, "GET", path, nil, callTimeout)
			mutex.Lock()
			defer mutex.Unlock()
			calls = append(calls, call{path, now, a})
		})
		time.Sleep(callInterval)
	}
	group.Wait()
	return calls
}

// services returns the services that ran each request.
func services(workers []*worker) map[string][]string {
	ran := map[string][]string{}
	for _, w := range workers {
		w.mutex.Lock()
		for _, r := range w.runs {
			ran[r.id] = append(ran[r.id], w.service)
		}
		w.mutex.Unlock()
	}
	return ran
}

// playConfig adds routes whose prefixes begin and end with a slash, and moves another
// route in one of these versions.
func playConfig(l *lab) error {
	all := []string{"survey-store", "quote-desk"}
	quotes := route{"quotes", "/quotes/", "idempotent", "quote-desk", callTimeout}
	moved := route{"quotes", "/quotes/", "idempotent", "survey-store", callTimeout}
	north := route{"north", "/sites%20north/", "idempotent", "survey-store", callTimeout}
	old := route{"old", "/surveys//old/", "idempotent", "survey-store", callTimeout}
	if !l.trouble {
		north.prefix, old.prefix = "/sites-north/", "/surveys/old/"
	}
	if err := l.store.putSpec("config", "main", configuration(1, all, quotes)); err != nil {
		return err
	}
	workers, nodes, err := l.fleet(all...)
	if err != nil {
		return err
	}
	var mutex sync.Mutex
	confirmed := map[string]time.Time{}
	change := func(after time.Duration, version string, spec map[string]any) {
		time.AfterFunc(after, func() {
			if l.store.putSpec("config", "main", spec) == nil {
				mutex.Lock()
				defer mutex.Unlock()
				confirmed[version] = time.Now()
				l.note("confirmed: version %s", version)
			}
		})
	}
	change(changeInterval, "r4", configuration(4, all, quotes, north))
	change(2*changeInterval, "r9", configuration(9, all, moved, north, old))
	calls := l.callAll(nodes, 4*changeInterval, "/quotes/1", north.prefix+"1", old.prefix+"1")
	ran := services(workers)
	mutex.Lock()
	defer mutex.Unlock()
	late := func(c call, version string) bool {
		return !confirmed[version].IsZero() && c.sentAt.Sub(confirmed[version]) > configApply
	}
	for _, c := range calls {
		id, a := c.answer.id, c.answer
		switch {
		case strings.HasPrefix(c.path, north.prefix) && late(c, "r4") && a.status == 404:
			l.breach("CONFIG: request %s for %s is refused with 404 %s after r4 was confirmed", id, c.path, c.sentAt.Sub(confirmed["r4"]).Round(time.Millisecond))
		case strings.HasPrefix(c.path, old.prefix) && late(c, "r9") && a.status == 404:
			l.breach("CONFIG: request %s for %s is refused with 404 %s after r9 was confirmed", id, c.path, c.sentAt.Sub(confirmed["r9"]).Round(time.Millisecond))
		case strings.HasPrefix(c.path, quotes.prefix) && late(c, "r9") && slices.Contains(ran[id], quotes.service):
			l.breach("CONFIG: request %s for %s ran at %s %s after r9 was confirmed", id, c.path, quotes.service, c.sentAt.Sub(confirmed["r9"]).Round(time.Millisecond))
		}
	}
	l.note("%d requests", len(calls))
	return nil
}
