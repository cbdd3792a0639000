package main

import (
	"strings"
	"syscall"
	"time"
)

func init() { cases["recover"] = playRecover }

const (
	// recovery is the bound of the site within which service returns after a restart.
	recovery = 15 * time.Second
	// servedShare is the part of the requests that has to be served after it.
	servedShare = 0.25
	// downTime is how long all processes are down.
	downTime = time.Second
)

// playRecover adds a route whose prefix begins and ends with a slash, then kills all
// processes and starts them again.
func playRecover(l *lab) error {
	all := []string{"survey-store", "quote-desk"}
	quotes := route{"quotes", "/quotes/", "idempotent", "quote-desk", callTimeout}
	surveys := route{"surveys", "/surveys/", "idempotent", "survey-store", callTimeout}
	added := route{"old", "/surveys//old/", "idempotent", "survey-store", callTimeout}
	if err := l.store.putSpec("config", "main", configuration(1, all, quotes, surveys)); err != nil {
		return err
	}
	_, nodes, err := l.fleet(all...)
	if err != nil {
		return err
	}
	if err := l.store.putSpec("config", "main", configuration(4, all, quotes, surveys, added)); err != nil {
		return err
	}
	l.note("confirmed: version r4 with the route %s", added.prefix)
	calls := l.callAll(nodes, 2*configApply, "/quotes/1", "/surveys/1")
	before := served(calls)
	if l.trouble {
		if err := l.killAll(nodes); err != nil {
			return err
		}
	}
	time.Sleep(recovery)
	calls = l.callAll(nodes, 3*configApply, "/quotes/1", "/surveys/1")
	after := served(calls)
	l.note("served %.2f of the requests before, %.2f after; ready: %v", before, after, ready(nodes))
	if before >= servedShare && after < servedShare {
		l.breach("RECOVER: %.2f of the requests served before all processes were killed, %.2f later than %s after they were back", before, after, recovery)
	}
	for _, c := range calls {
		if c.answer.status == 404 {
			l.breach("DENIED: request %s for %s, which all configurations allow, is answered 404", c.answer.id, c.path)
		}
	}
	return nil
}

// killAll kills all nodes at the same moment and starts them again downTime later.
func (l *lab) killAll(nodes []*node) error {
	l.note("SIGKILL to all nodes")
	for _, n := range nodes {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, n := range nodes {
		<-n.exited
		if err := n.start(); err != nil {
			return err
		}
	}
	l.note("started all nodes again")
	return nil
}

// served returns the share of the requests that a worker answered.
func served(calls []call) float64 {
	count := 0.0
	for _, c := range calls {
		if c.answer.status == 200 && c.answer.signed {
			count++
		}
	}
	return count / float64(max(1, len(calls)))
}

// ready returns the names of the nodes that say that they are ready.
func ready(nodes []*node) string {
	var names []string
	for _, n := range nodes {
		if n.isReady() {
			names = append(names, n.name)
		}
	}
	return strings.Join(names, " ")
}
