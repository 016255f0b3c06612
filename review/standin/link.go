package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// link is a proxy before the address at which a machine is reached by other machines
// of the system. It can hold all bytes from and to single machines, as a silent cut
// does.
type link struct {
	m        *machine
	listener net.Listener

	mu   sync.Mutex
	cond *sync.Cond
	// cut reports whether the bytes of connections that a process has opened are
	// held; nil means that none are.
	cut func(pid int) bool
	// pids are the processes that may open connections.
	pids func() []int // guarded by mu
}

func newLink(m *machine) (*link, error) {
	l, err := net.Listen("tcp", fmt.Sprint(m.ip, ":", peerPort))
	if err != nil {
		return nil, err
	}
	k := &link{m: m, listener: l}
	k.cond = sync.NewCond(&k.mu)
	go k.run()
	return k, nil
}

// set cuts the link for the processes for which cut returns true, or heals it.
func (k *link) set(cut func(pid int) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	k.cond.Broadcast()
}

func (k *link) run() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c.(*net.TCPConn))
	}
}

func (k *link) serve(client *net.TCPConn) {
	defer client.Close()
	k.mu.Lock()
	pids := k.pids
	k.mu.Unlock()
	owner := 0
	if pids != nil {
		owner = ownerOf(client, pids)
	}
	k.wait(owner)
	server, err := net.DialTimeout("tcp", fmt.Sprint(k.m.private, ":", peerPort), time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	defer server.Close()
	var group sync.WaitGroup
	group.Go(func() { k.copy(owner, server.(*net.TCPConn), client) })
	group.Go(func() { k.copy(owner, client, server.(*net.TCPConn)) })
	group.Wait()
}

// copy forwards one direction.
func (k *link) copy(owner int, to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.wait(owner)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil && err == nil {
				err = failed
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		default:
			_, _ = to.SetLinger(0), from.SetLinger(0)
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

// wait blocks while the link is cut for a process.
func (k *link) wait(owner int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut != nil && k.cut(owner) {
		k.cond.Wait()
	}
}

// ownerOf returns which of the processes has opened a loopback connection, or 0.
func ownerOf(c *net.TCPConn, pids func() []int) int {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return 0
	}
	for _, pid := range pids() {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == "socket:["+inode+"]" {
				return pid
			}
		}
	}
	return 0
}

// socketInode returns the inode of the socket with two addresses, or "".
func socketInode(local, remote *net.TCPAddr) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	want := kernelAddress(local) + " " + kernelAddress(remote)
	for s := bufio.NewScanner(f); s.Scan(); {
		if fields := strings.Fields(s.Text()); len(fields) > 9 && fields[1]+" "+fields[2] == want {
			return fields[9]
		}
	}
	return ""
}

// kernelAddress returns an IPv4 address as in /proc/net/tcp of a little-endian
// machine.
func kernelAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
