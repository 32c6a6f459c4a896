package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// proxy is the link between the machines of the system and a server. While it is cut, it
// holds back the bytes of both directions, and the end of a connection with them.
type proxy struct {
	address, to string
	listener    net.Listener

	mu     sync.Mutex
	healed chan struct{} // closed when the link works again; nil while it works
}

// link starts a proxy in front of an address.
func (w *world) link(machine int, to string) (*proxy, error) {
	at, err := w.address(machine)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: at, to: to, listener: listener}
	go p.run()
	w.atEnd(func() { _ = listener.Close() })
	return p, nil
}

// cut cuts the link.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

// heal ends the cut.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// pass waits until the link works.
func (p *proxy) pass() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c.(*net.TCPConn))
	}
}

func (p *proxy) forward(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	p.pass()
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.SetLinger(0) // nothing listens there
		return
	}
	server := s.(*net.TCPConn)
	defer func() { _ = server.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(server, c)
	}()
	p.copy(c, server)
	<-done
}

// copy copies one direction to its end, which it passes on: an end in order as one in
// order, a reset as a reset.
func (p *proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
