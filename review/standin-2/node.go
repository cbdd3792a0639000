package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is a node process with its settings file.
type node struct {
	name, zone, region, service string
	callers, ready, control     string
	peers, listenPeers          string
	upstream                    string

	lab  *lab
	file string
	cmd  *exec.Cmd
	// exited is closed when the current process has ended.
	exited chan struct{}
}

// firstPort and ports are a range of ports below those that the system gives to
// outgoing connections.
const (
	firstPort = 18000
	ports     = 12000
)

// usedPorts holds the ports that freePort has returned.
var usedPorts = map[int]bool{}

// freePort returns a free address on loopback.
func freePort() string {
	for {
		port := firstPort + rand.IntN(ports)
		if usedPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		usedPorts[port] = true
		_ = listener.Close()
		return listener.Addr().String()
	}
}

// settings returns the settings file: deploy/node.settings as the platform fills it
// in for a small deployment, with a separate address for the peers' listener where a
// link lies in between.
func (n *node) settings() string {
	text := fmt.Sprintf(`name = %s
availability-zone = %s
region = %s
service = %s
callers = %s
ready = %s
announcements = %s
peers = %s
operators = %s
store = %s
announce-period = 1500ms
retry-ratio = 0.2
retry-window = 10s
retry-slack = 64
insecure-peers = true
watchers = 3
link-rate = 1000
keys = false
memory = 284
descriptors = 4100
stop-timeout = 6s
log-level = %s
`, n.name, n.zone, n.region, n.service, n.callers, n.ready, n.control, n.peers, freePort(), n.lab.store.address, n.lab.logLevel)
	if n.listenPeers != "" {
		text += "listen-peers = " + n.listenPeers + "\n"
	}
	return text
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	if n.file == "" {
		n.file = filepath.Join(n.lab.folder, n.name+".settings")
		if err := os.WriteFile(n.file, []byte(n.settings()), 0o600); err != nil {
			return err
		}
	}
	n.cmd = exec.Command("target/srsidecar", "--settings-file", n.file)
	n.cmd.Env = append(os.Environ(), "SYCAMORERUN_UPSTREAM="+n.upstream)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logs, err := os.OpenFile(filepath.Join(n.lab.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd.Stdout, n.cmd.Stderr = logs, logs
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), n.cmd
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		_ = logs.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// isReady reports whether the node says that it is ready.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
