package main

import (
	"io"
	"net"
	"time"
)

// link is a link with a one-way delay to an address. A connection through it takes
// as long as over a network: the opening packet arrives after one delay, and the
// first data after three.
type link struct {
	address, to string
	delay       time.Duration
}

// startLink starts a link on a free port.
func startLink(to string, delay time.Duration) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), to: to, delay: delay}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn.(*net.TCPConn))
		}
	}()
	return l, nil
}

func (l *link) serve(near *net.TCPConn) {
	opened := time.Now()
	time.Sleep(l.delay)
	conn, err := net.DialTimeout("tcp", l.to, 3*time.Second)
	if err != nil {
		time.Sleep(l.delay)
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	go l.carry(near, far, opened.Add(3*l.delay))
	l.carry(far, near, opened.Add(2*l.delay))
}

// packet is data in transit, or the end of a direction.
type packet struct {
	data []byte
	due  time.Time
	end  bool
	// reset says that the connection was reset.
	reset bool
}

// carry carries one direction of a connection.
func (l *link) carry(from, to *net.TCPConn, notBefore time.Time) {
	queue := make(chan packet, 4096)
	go func() {
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			due := time.Now().Add(l.delay)
			if due.Before(notBefore) {
				due = notBefore
			}
			if n > 0 {
				queue <- packet{data: buffer[:n], due: due}
			}
			if err != nil {
				queue <- packet{due: due, end: true, reset: err != io.EOF}
				return
			}
		}
	}()
	for p := range queue {
		time.Sleep(time.Until(p.due))
		if p.end {
			if p.reset {
				_ = to.SetLinger(0)
				_ = to.Close()
			} else {
				_ = to.CloseWrite()
			}
			return
		}
		if _, err := to.Write(p.data); err != nil {
			_ = from.SetLinger(0)
			_ = from.Close()
			return
		}
	}
}
