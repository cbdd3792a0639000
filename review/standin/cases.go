package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
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

// path: requests whose path begins with the prefix of another route, or of none,
// than the one that the path without empty and encoded segments begins with.
func path(l *lab) {
	const first, inner = "/lohu930/", "/lohu930/pufi791/"
	l.configure(7, []string{"huvo11a", "wuno96b"}, host, []map[string]any{
		route("r-1", first, "non_idempotent", "huvo11a"), route("r-2", inner, "idempotent", "wuno96b"),
	})
	allowed := func(target string) string {
		switch {
		case strings.HasPrefix(target, inner):
			return "wuno96b"
		case strings.HasPrefix(target, first):
			return "huvo11a"
		}
		return ""
	}
	services := map[string]string{"i-huvo": "huvo11a", "i-wuno": "wuno96b"}
	var nodes []*node
	for i, id := range []string{"i-huvo", "i-wuno"} {
		n := l.newNode(fmt.Sprintf("sidecar-kgl-a-%d", i+1), "kgl-a", services[id])
		n.run()
		l.newWorker(id, n, 50*time.Millisecond)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.waitReady(15 * time.Second)
	}
	time.Sleep(4 * time.Second)
	targets := []string{"/lohu930/2f", "/lohu930/pufi791/2f", "/xoga114/2f"}
	if l.trouble {
		targets = append(targets, "//lohu930/2f", "/lohu930//pufi791/2f", "/lohu930/pufi791%2F2f")
	}
	for range 3 {
		for _, target := range targets {
			for _, n := range nodes {
				l.request(n, http.MethodPost, host, target, "x", 2*time.Second)
			}
		}
	}
	var findings []string
	for _, r := range l.allRuns() {
		if ran, want := services[r.worker], allowed(r.path); ran != want {
			findings = append(findings, fmt.Sprintf("ROUTE: %s with path %s was run by %s, allowed is %q", r.id, r.path, ran, want))
		}
	}
	l.end(findings)
}
