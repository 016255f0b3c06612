package fleet

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay passes TCP connections on to an address. While it is cut, nothing
// passes in either direction and new connections hang, as in a partition in
// which packets are dropped. After silence, nothing passes on the connections
// that were open, while new ones work.
type relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	open   chan struct{} // closed while the relay is not cut
	conns  map[net.Conn]bool
	silent chan struct{} // closed when the present connections go silent
	closed bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, open: make(chan struct{}), conns: map[net.Conn]bool{}, silent: make(chan struct{})}
	close(r.open)
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) cut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.open:
		if on {
			r.open = make(chan struct{})
		}
	default:
		if !on {
			close(r.open)
		}
	}
}

// silence makes the open connections silent for good.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.cut(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

func (r *relay) pass(from net.Conn) {
	defer r.drop(from)
	if !r.keep(from) {
		return
	}
	<-r.gate()
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.drop(to)
	if !r.keep(to) {
		return
	}
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			r.copy(pair[1], pair[0], silent)
			done <- struct{}{}
		}()
	}
	<-done
	if isClosed(silent) {
		<-done // the other end doesn't learn of the end of this one
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// copy passes bytes on and holds them back while the relay is cut. It swallows
// all bytes and the end of a connection that is silent.
func (r *relay) copy(to io.Writer, from io.Reader, silent <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		<-r.gate()
		if n > 0 && !isClosed(silent) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) gate() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
