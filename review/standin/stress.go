package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// stress plays random stops, kills and freezes of nodes.
func stress(l *lab) {
	l.configure(7, []string{"huvo11a"}, host, []map[string]any{route("r-1", "/lohu930/", "idempotent", "huvo11a"), route("r-2", "/pufi791/", "non_idempotent", "huvo11a")})
	var nodes []*node
	for i := 1; i <= 4; i++ {
		n := l.newNode(fmt.Sprintf("sidecar-kgl-a-%d", i), "kgl-a", "huvo11a")
		n.run()
		l.newWorker(fmt.Sprintf("i-%d", i), n, 60*time.Millisecond)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.waitReady(15 * time.Second)
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	answers := make(chan answer, 100000)
	group := l.load(stop, 4*time.Millisecond, func(i int) {
		if i%3 > 0 {
			body := strings.Repeat("x", 10)
			if i%7 == 0 {
				body = strings.Repeat("y", 60000)
			}
			answers <- l.request(nodes[i%4], http.MethodPost, host, "/pufi791/2f", body, 2*time.Second)
		} else {
			l.request(nodes[i%4], http.MethodGet, host, "/lohu930/2f", "", 2*time.Second)
		}
	})
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(200+rand.IntN(800)) * time.Millisecond) {
		n := nodes[rand.IntN(len(nodes))]
		switch rand.IntN(3) {
		case 0:
			n.kill()
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			n.run()
		case 1:
			n.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			n.signal(syscall.SIGCONT)
		case 2:
			n.signal(syscall.SIGSTOP)
			m := nodes[rand.IntN(len(nodes))]
			if m != n {
				m.kill()
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				m.run()
			}
			time.Sleep(time.Duration(rand.IntN(900)) * time.Millisecond)
			n.signal(syscall.SIGCONT)
		}
	}
	close(stop)
	group.Wait()
	time.Sleep(time.Second)
	close(answers)
	runs := map[string]int{}
	for _, r := range l.allRuns() {
		if strings.HasPrefix(r.path, "/pufi") {
			runs[r.id]++
		}
	}
	var findings []string
	byStatus := map[int]int{}
	for a := range answers {
		byStatus[a.status]++
		if runs[a.id] > 1 {
			findings = append(findings, fmt.Sprintf("TWICE %s", a.id))
		}
		if runs[a.id] > 0 && (a.status == 503 || a.status == 429 || a.status == 408) {
			findings = append(findings, fmt.Sprintf("REFUSED %s %d %s", a.id, a.status, a.body))
		}
		if a.status == 200 && (a.signature != "s."+a.id || !strings.Contains(a.body, a.id)) {
			findings = append(findings, fmt.Sprintf("MIXED %s", a.id))
		}
	}
	fmt.Println(byStatus)
	l.end(findings)
}
