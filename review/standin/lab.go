// Command standin runs the cases of the review: it starts the stand-ins and the
// project's own programs, plays one case and judges it.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	cannotGo = 2
)

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// current is the lab of the case, which fail cleans up.
var current *lab

func fail(format string, args ...any) {
	fmt.Printf("the case could not run: "+format+"\n", args...)
	if current != nil {
		current.close()
	}
	os.Exit(cannotGo)
}

// lab holds the processes and the record of a case.
type lab struct {
	start  time.Time
	folder string
	store  *store
	// storeAddress is where the nodes reach the store.
	storeAddress string
	nodes        []*node
	trouble      bool

	mutex  sync.Mutex
	record *bufio.Writer
	file   *os.File
	runs   []run
	sent   atomicCounter
}

type atomicCounter struct {
	mutex sync.Mutex
	n     int
}

func (c *atomicCounter) next() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.n++
	return c.n
}

func newLab(record string) *lab {
	file, err := os.Create(record)
	check(err)
	folder, err := os.MkdirTemp("", "review")
	check(err)
	l := &lab{
		start: time.Now(), folder: folder, store: newStore(), trouble: os.Getenv("TROUBLE") != "0",
		record: bufio.NewWriter(file), file: file,
	}
	current = l
	l.storeAddress = serve(l.store)
	return l
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.noteLocked(time.Now(), format, args...)
}

func (l *lab) noteLocked(at time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(l.record, "%8.3f s  %s\n", at.Sub(l.start).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) recordRun(r run, method string, bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, r)
	l.noteLocked(r.at, "worker %s runs %s: %s %s, %d bytes, from %s", r.worker, r.id, method, r.path, bytes, r.caller)
}

func (l *lab) allRuns() []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]run{}, l.runs...)
}

// close ends all processes.
func (l *lab) close() {
	for _, n := range l.nodes {
		n.kill()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_ = l.record.Flush()
	_ = l.file.Close()
	_ = os.RemoveAll(l.folder)
}

// end closes the lab and exits with the verdict.
func (l *lab) end(findings []string) {
	for _, each := range findings {
		l.note("BROKEN: %s", each)
		fmt.Println(each)
	}
	verdict, text := held, "held"
	if len(findings) > 0 {
		verdict, text = broken, "broken"
	}
	l.note("the rule %s", text)
	fmt.Println("the rule", text)
	l.close()
	os.Exit(verdict)
}

// node is a process of the role node.
type node struct {
	lab                                     *lab
	name, zone, service                     string
	outbound, ready, control, peers, manage string
	settings                                string
	command                                 *exec.Cmd
	done                                    chan struct{}
}

// freeAddress returns a loopback address outside of the range of outgoing ports.
func freeAddress() string {
	for range 1000 {
		address := "127.0.0.1:" + strconv.Itoa(12000+rand.IntN(18000))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	fail("no free port")
	return ""
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// newNode writes the settings file of a node from the project's template.
func (l *lab) newNode(name, zone, service string) *node {
	n := &node{
		lab: l, name: name, zone: zone, service: service, outbound: freeAddress(), ready: freeAddress(),
		control: freeAddress(), peers: freeAddress(), manage: freeAddress(),
	}
	template, err := os.ReadFile("deploy/node.settings")
	check(err)
	port := func(address string) string { return address[strings.LastIndex(address, ":")+1:] }
	values := map[string]string{
		"node_name": name, "zone": zone, "region": "kigali", "service": service, "listen.outbound": n.outbound, "listen.ready": n.ready,
		"listen.control_plane": n.control, "ip": "127.0.0.1", "port_range.0": port(n.peers), "port_range.1": port(n.manage),
		"platform.address": l.storeAddress, "heartbeat": "1500ms", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window": "10s",
		"bounds.budget_slack": "64", "bounds.grace": "6s",
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		value, ok := values[strings.Trim(match, "{}")]
		if !ok {
			fail("no value for %s", match)
		}
		return value
	})
	n.settings = filepath.Join(l.folder, name+".settings")
	check(os.WriteFile(n.settings, []byte(text), 0o600))
	l.nodes = append(l.nodes, n)
	return n
}

// run starts the process with the command of the deploy file.
func (n *node) run() {
	output, err := os.OpenFile(filepath.Join(n.lab.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	n.command = exec.Command("target/srsidecar", "--settings-file", n.settings)
	n.command.Stdout, n.command.Stderr = output, output
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.command.Start())
	n.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		_ = output.Close()
		close(done)
	}(n.command, n.done)
	n.lab.note("node %s started", n.name)
}

func (n *node) signal(s syscall.Signal) {
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// kill ends the process at once.
func (n *node) kill() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.done
	n.command = nil
}

// isReady reports whether the node answers the readiness probe with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n *node) waitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			n.lab.note("node %s is ready", n.name)
			return
		}
	}
	fail("node %s is not ready after %s", n.name, limit)
}

// newWorker starts a worker beside a node.
func (l *lab) newWorker(id string, n *node, work time.Duration) *worker {
	w := &worker{id: id, service: n.service, work: work, born: time.Now().UnixMilli(), lab: l, node: n, stopBeats: make(chan struct{})}
	w.address = serve(w)
	go w.beat()
	return w
}

// answer is what a client got. Status 0 means a closed connection or a time-out.
type answer struct {
	id, signature, body string
	status              int
	sentAt              time.Time
}

// request sends a request to a node over a new connection.
func (l *lab) request(n *node, method, host, target, body string, budget time.Duration) answer {
	id := fmt.Sprintf("q%06d", l.sent.next())
	a := answer{id: id, sentAt: time.Now()}
	l.note("client sends %s to %s: %s %s%s", id, n.name, method, host, target)
	ctx, cancel := context.WithTimeout(context.Background(), budget+500*time.Millisecond)
	defer cancel()
	defer func() { l.note("client gets %d for %s: %.40q", a.status, id, a.body) }()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", n.outbound)
	if err != nil {
		return a
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%sRequest-Id: %s\r\n%sDeadline-Ms: %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		method, target, host, prefix, id, prefix, budget.Milliseconds(), len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return a
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	a.status, a.body, a.signature = response.StatusCode, string(data), response.Header.Get(prefix+"Response-Signature")
	return a
}

// configure writes the operator's document.
func (l *lab) configure(version int, services []string, host string, paths []map[string]any) {
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false})
	}
	l.store.put("config", "main", map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": list,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
		"virtual" + "_hosts": []any{map[string]any{"host": host, "paths": paths}},
	})
	l.note("operator: configuration r%d is confirmed", version)
}

// route returns a route of the operator's document.
func route(name, path, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "path" + "_prefix": path, "kind": kind, "timeout": "1200ms", "target" + "_latency": "800ms",
		"priority": 2, "service": service, "max_attempts": 2,
	}
}
