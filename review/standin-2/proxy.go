package main

import (
	"net"
	"sync"
)

// proxy forwards TCP connections to an address. Its open connections can go silent, while
// new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	generation int
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// silence lets no byte pass any more on the connections that are open now.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
}

func (p *proxy) now() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

func (p *proxy) forward(conn net.Conn) {
	born := p.now()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	relay := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if p.now() != born {
				if err != nil {
					return // what is silent shows no end either
				}
				continue
			}
			if n > 0 {
				if _, failed := to.Write(buffer[:n]); failed != nil {
					err = failed
				}
			}
			if err != nil {
				_ = to.Close()
				_ = from.Close()
				return
			}
		}
	}
	go relay(out, conn)
	relay(conn, out)
}
