// Command lab plays the cases of the second review against the project's own
// programs. Store, workers, clients and links are stand-ins.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// lab holds the processes and stand-ins of a case.
type lab struct {
	folder   string
	logLevel string
	store    *store
	nodes    []*node
	trouble  bool

	mutex   sync.Mutex
	record  *os.File
	started time.Time
	failed  []string
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fmt.Fprintf(l.record, "%9.3f ", time.Since(l.started).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// breach records that the rule was broken.
func (l *lab) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.note("BROKEN %s", text)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failed = append(l.failed, text)
}

// addNode adds a node with its worker's address. With a link, peers reach it over
// the link only.
func (l *lab) addNode(name, zone, region, service, upstream string, delay time.Duration) (*node, error) {
	n := &node{
		name: name, zone: zone, region: region, service: service, upstream: upstream, lab: l,
		callers: freePort(), ready: freePort(), control: freePort(), peers: freePort(),
	}
	if delay > 0 {
		path, err := startLink(n.peers, delay)
		if err != nil {
			return nil, err
		}
		n.listenPeers, n.peers = n.peers, path.address
	}
	l.nodes = append(l.nodes, n)
	return n, n.start()
}

// awaitReady waits until all nodes are ready.
func (l *lab) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range l.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(l.nodes) {
			return true
		}
	}
	return false
}

// cases maps names to cases. A case returns an error if it couldn't run.
var cases = map[string]func(*lab) error{}

// errNotReady means that a node was not ready in time.
var errNotReady = errors.New("the nodes are not ready")

// exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	deadline = 118 * time.Second
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case, ends its processes and returns the exit code.
func play(run func(*lab) error, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	l := &lab{folder: temporary, logLevel: "info", record: record, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	if os.Getenv("LAB_DEBUG") != "" {
		l.logLevel = "debug"
	} else {
		defer os.RemoveAll(temporary)
	}
	done := make(chan error, 1)
	go func() {
		var err error
		if l.store, err = startStore(); err == nil {
			err = run(l)
		}
		done <- err
	}()
	select {
	case err = <-done:
	case <-time.After(deadline):
		err = fmt.Errorf("the case took over %s", deadline)
	}
	for _, n := range l.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			n.kill()
		}
	}
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	case len(l.failed) > 0:
		fmt.Printf("rule broken %d times, first: %s\n", len(l.failed), l.failed[0])
		return broken
	}
	l.note("the rule held")
	fmt.Println("the rule held")
	return held
}
