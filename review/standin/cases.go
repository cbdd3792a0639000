package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const host = "ficu95.example"

// load sends requests to nodes at a steady rate until stop is closed.
func (l *lab) load(stop <-chan struct{}, every time.Duration, send func(i int)) *sync.WaitGroup {
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				group.Go(func() { send(i) })
			}
		}
	})
	return &group
}

// lateHeartbeat: a worker leaves, its node is stopped and started again, and a
// heartbeat from before the departure arrives late.
func lateHeartbeat(l *lab) {
	const drain = 2500 * time.Millisecond
	const contact = 3 * time.Second
	l.configure(7, []string{"huvo11a"}, host, []map[string]any{route("r-1", "/lohu930/", "idempotent", "huvo11a")})
	first, second := l.newNode("sidecar-kgl-a-1", "kgl-a", "huvo11a"), l.newNode("sidecar-kgl-a-2", "kgl-a", "huvo11a")
	for _, n := range []*node{first, second} {
		n.run()
	}
	leaving, _ := l.newWorker("i-leaving", first, 50*time.Millisecond), l.newWorker("i-staying", second, 50*time.Millisecond)
	first.waitReady(15 * time.Second)
	second.waitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	group := l.load(stop, 50*time.Millisecond, func(i int) {
		l.request([]*node{first, second}[i%2], http.MethodGet, host, "/lohu930/2f", "", 2*time.Second)
	})
	time.Sleep(3 * time.Second)
	leaving.endBeats()
	late := leaving.heartbeat("ready") // sent now, delivered later
	l.note("worker i-leaving sends a heartbeat, seq %v, which is delayed", late["seq"])
	time.Sleep(100 * time.Millisecond)
	if status := first.report(http.MethodDelete, leaving.id, nil); status != http.StatusOK {
		fail("the departure was not confirmed: %d", status)
	}
	confirmed := time.Now()
	l.note("node %s has confirmed that i-leaving leaves", first.name)
	inTouch := confirmed
	if l.trouble {
		time.Sleep(200 * time.Millisecond)
		first.signal(syscall.SIGTERM)
		l.note("SIGTERM to node %s", first.name)
		select {
		case <-first.done:
		case <-time.After(6 * time.Second):
			first.kill()
		}
		l.note("node %s has ended", first.name)
		first.run()
		started := time.Now()
		inTouch = started.Add(contact)
		time.Sleep(700 * time.Millisecond)
		l.note("the delayed heartbeat arrives %.1f s late: %d", time.Since(confirmed).Seconds(), first.report(http.MethodPut, leaving.id, late))
	}
	time.Sleep(time.Until(confirmed.Add(15 * time.Second)))
	close(stop)
	group.Wait()
	bound := confirmed.Add(drain)
	if inTouch.After(bound) {
		bound = inTouch
	}
	var findings []string
	count := 0
	for _, r := range l.allRuns() {
		if r.worker == leaving.id && r.at.After(bound) {
			if count++; count <= 5 {
				findings = append(findings, fmt.Sprintf("DRAIN: %s reached i-leaving %.3f s after the confirmation of its departure", r.id, r.at.Sub(confirmed).Seconds()))
			}
		}
	}
	if count > 0 {
		findings = append(findings, fmt.Sprintf("DRAIN: %d requests in all", count))
	}
	l.end(findings)
}

// otherWriter: a heartbeat of another writer names a service that does not exist.
func otherWriter(l *lab) {
	l.configure(7, []string{"huvo11a"}, host, []map[string]any{route("r-1", "/lohu930/", "idempotent", "huvo11a")})
	var nodes []*node
	for i := 1; i <= 2; i++ {
		n := l.newNode(fmt.Sprintf("sidecar-kgl-a-%d", i), "kgl-a", "huvo11a")
		n.run()
		l.newWorker(fmt.Sprintf("i-%d", i), n, 50*time.Millisecond)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.waitReady(15 * time.Second)
	}
	time.Sleep(4 * time.Second)
	if l.trouble {
		for _, n := range nodes {
			status := n.report(http.MethodPut, "i-other", map[string]any{
				"service": "nobody", "address": "127.0.0.1:9", "zone": "kgl-a", "version": "v1", "slots": 6, "state": "ready",
				"cold" + "_remaining": "0ms", "seq": 1, "born": time.Now().UnixMilli(),
			})
			l.note("another writer's heartbeat to %s names the service nobody: %d", n.name, status)
		}
	}
	time.Sleep(2 * time.Second)
	served, sent := 0, 0
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		sent++
		if l.request(nodes[sent%2], http.MethodGet, host, "/lohu930/2f", "", 2*time.Second).status == http.StatusOK {
			served++
		}
	}
	l.note("%d of %d requests served", served, sent)
	fmt.Printf("%d of %d requests served\n", served, sent)
	var findings []string
	if served == 0 {
		findings = append(findings, "Fault: no request is served")
	}
	l.end(findings)
}

// path: requests to a route that is not idempotent, whose path has an empty or an
// encoded segment, while the workers of a service lose answers.
func path(l *lab) {
	const outer, inner = "/lohu930/", "/lohu930/pufi791/"
	l.configure(7, []string{"huvo11a", "wuno96b"}, host, []map[string]any{
		route("r-1", outer, "non_idempotent", "huvo11a"), route("r-2", inner, "idempotent", "wuno96b"),
	})
	// kind is that of the route with the longest prefix that begins the path.
	kind := func(target string) string {
		switch {
		case strings.HasPrefix(target, inner):
			return "idempotent"
		case strings.HasPrefix(target, outer):
			return "non_idempotent"
		}
		return ""
	}
	var nodes []*node
	for i, service := range []string{"huvo11a", "huvo11a", "wuno96b", "wuno96b"} {
		n := l.newNode(fmt.Sprintf("sidecar-kgl-a-%d", i+1), "kgl-a", service)
		n.run()
		w := l.newWorker(fmt.Sprintf("i-%s-%d", service, i+1), n, 50*time.Millisecond)
		if l.trouble && i >= 2 {
			w.lost = &atomic.Int64{}
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.waitReady(15 * time.Second)
	}
	time.Sleep(4 * time.Second)
	for range 40 {
		for _, target := range []string{"/lohu930/2f", "/lohu930/pufi791/2f", "/lohu930//pufi791/2f", "/lohu930/pufi791%2F2f"} {
			l.request(nodes[0], http.MethodPost, host, target, "x", 2*time.Second)
			time.Sleep(20 * time.Millisecond)
		}
	}
	runs := map[string][]run{}
	for _, r := range l.allRuns() {
		runs[r.id] = append(runs[r.id], r)
	}
	count := map[string]int{}
	for _, each := range runs {
		if len(each) > 1 && kind(each[0].path) != "idempotent" {
			count[each[0].path]++
		}
	}
	var findings []string
	for target, n := range count {
		findings = append(findings, fmt.Sprintf("TWICE: %d requests to %s, whose route is not idempotent, ran more than once", n, target))
	}
	l.end(findings)
}

// changedPath: requests whose path has characters that a client sends as they are.
func changedPath(l *lab) {
	l.configure(7, []string{"huvo11a"}, host, []map[string]any{
		route("r-1", "/lohu930/", "idempotent", "huvo11a"), route("r-2", "/pufi791/", "non_idempotent", "huvo11a"),
	})
	var nodes []*node
	for i := 1; i <= 2; i++ {
		n := l.newNode(fmt.Sprintf("sidecar-kgl-a-%d", i), "kgl-a", "huvo11a")
		n.run()
		l.newWorker(fmt.Sprintf("i-%d", i), n, 50*time.Millisecond)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.waitReady(15 * time.Second)
	}
	time.Sleep(4 * time.Second)
	tails := []string{"2f", "a%7Cb", "%41;x=1"}
	if l.trouble {
		tails = append(tails, "a|b", "a^b", "a|b?c=d|e")
	}
	sent := map[string]string{}
	for range 5 {
		for _, tail := range tails {
			for i, n := range nodes {
				method, target := http.MethodGet, "/lohu930/"+tail
				if i == 1 {
					method, target = http.MethodPost, "/pufi791/"+tail
				}
				sent[l.request(n, method, host, target, "", 2*time.Second).id] = target
			}
		}
	}
	count := map[string]int{}
	for _, r := range l.allRuns() {
		if want, ok := sent[r.id]; !ok || r.path != want {
			count[fmt.Sprintf("%s was sent, %s was run", want, r.path)]++
		}
	}
	var findings []string
	for text, n := range count {
		findings = append(findings, fmt.Sprintf("UNASKED: %s, %d times", text, n))
	}
	l.end(findings)
}
