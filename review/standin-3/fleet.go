package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// record is the log of a case, which is written to record.txt.
type record struct {
	mutex sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{start: time.Now(), file: file}
}

func (r *record) logf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is a process of the deploy file beside a worker.
type node struct {
	name, zone, region, service        string
	callers, ready, announcements      string
	peers, listenPeers, operators, app string
	storeAddress                       string
	settings                           string
	log                                *os.File
	command                            *exec.Cmd
	exited                             chan struct{}
}

// fleet holds the processes of a case.
type fleet struct {
	record *record
	root   string
	folder string
	nodes  []*node
}

func newFleet(rec *record) *fleet {
	folder, err := os.MkdirTemp("", "review-3-")
	must(err)
	root, err := os.Getwd()
	must(err)
	return &fleet{record: rec, root: root, folder: folder}
}

// given holds the addresses that freeAddress has returned.
var given = map[string]bool{}

// freeAddress returns a free loopback address with a port below those that the kernel
// gives to outgoing connections.
func freeAddress() string {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(10000))
		if given[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			given[address] = true
			return address
		}
	}
	panic(skip("no free port"))
}

// add makes a node that is not started yet. peers is the address that other nodes use,
// which may be that of a proxy; the node listens on listenPeers.
func (f *fleet) add(name, zone, region, service, storeAddress string) *node {
	n := &node{
		name: name, zone: zone, region: region, service: service, storeAddress: storeAddress,
		callers: freeAddress(), ready: freeAddress(), announcements: freeAddress(),
		peers: freeAddress(), operators: freeAddress(), app: freeAddress(),
		settings: filepath.Join(f.folder, name+".settings"), exited: make(chan struct{}),
	}
	f.nodes = append(f.nodes, n)
	return n
}

// start starts the process of a node.
func (f *fleet) start(n *node) {
	lines := []string{
		"name = " + n.name, "availability-zone = " + n.zone, "region = " + n.region, "service = " + n.service,
		"callers = " + n.callers, "ready = " + n.ready, "announcements = " + n.announcements,
		"peers = " + n.peers, "operators = " + n.operators, "store = " + n.storeAddress,
		"announce-period = 1500ms", "retry-ratio = 0.2", "retry-window = 10s", "retry-slack = 62",
		"insecure-peers = true", "watchers = 3", "link-rate = 1000", "keys = false",
		"memory = 284", "descriptors = 4100", "stop-timeout = 6s", "log-level = debug",
	}
	if n.listenPeers != "" {
		lines = append(lines, "listen-peers = "+n.listenPeers)
	}
	var text bytes.Buffer
	for _, line := range lines {
		text.WriteString(line + "\n")
	}
	must(os.WriteFile(n.settings, text.Bytes(), 0o600))
	if n.log == nil {
		var err error
		n.log, err = os.Create(filepath.Join(f.folder, n.name+".log"))
		must(err)
	}
	n.command = exec.Command(filepath.Join(f.root, "target", "srsidecar"), "--settings-file", n.settings)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "SYCAMORERUN_UPSTREAM=" + n.app}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	must(n.command.Start())
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(n.command, n.exited)
	f.record.logf("node %s started", n.name)
}

// stop kills all processes that the case started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// awaitReady waits until a node is ready.
func (f *fleet) awaitReady(n *node) {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			f.record.logf("node %s is ready", n.name)
			return
		}
	}
	panic(skip("node " + n.name + " did not become ready"))
}

// proxy relays connections. Those that are open when silence is called pass on nothing
// any more, without a reset; new ones work.
type proxy struct {
	to    string
	delay time.Duration
	mutex sync.Mutex
	era   int
}

// serve starts the proxy at an address.
func (p *proxy) serve(address string) {
	l, err := net.Listen("tcp", address)
	must(err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(conn)
		}
	}()
}

func (p *proxy) current() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.era
}

func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.era++
}

func (p *proxy) relay(client net.Conn) {
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = client.Close()
		return
	}
	era := p.current()
	pump := func(from, to net.Conn) {
		type part struct {
			data []byte
			at   time.Time
		}
		parts := make(chan part, 1024)
		go func() {
			defer close(parts)
			for {
				buffer := make([]byte, 32<<10)
				n, err := from.Read(buffer)
				if n > 0 {
					parts <- part{buffer[:n], time.Now().Add(p.delay)}
				}
				if err != nil {
					return
				}
			}
		}()
		for each := range parts {
			time.Sleep(time.Until(each.at))
			if p.current() != era {
				continue // silent: bytes are lost, the connection stays open
			}
			if _, err := to.Write(each.data); err != nil {
				break
			}
		}
		if p.current() == era {
			_ = to.Close()
			_ = from.Close()
		}
	}
	go pump(client, server)
	go pump(server, client)
}
