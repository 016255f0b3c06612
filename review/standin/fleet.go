package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine; the same on all machines.
const (
	peerPort      = 7340
	readinessPort = 8220
	frontendPort  = 8227
	controlPort   = 8229
)

// machine is one machine of the system with its process.
type machine struct {
	name, role, zone string
	ip               string // where others reach it
	private          string // where it listens if proxies stand before it, else ip

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// fleet is the machines of a small deployment.
type fleet struct {
	e       *environment
	prefix  string // of all addresses
	proxied bool
	memory  int // MemoryMb of the edge machines
	cores   []*machine
	edges   []*machine
	links   []*link // before the peer addresses, if proxied
}

// children are the processes that were started.
var children struct {
	sync.Mutex
	list []*exec.Cmd
	done bool // no more are started
}

// starts are processes to start. One thread starts all of them, because they are ended
// when the thread that has started them ends.
var starts = make(chan startRequest)

type startRequest struct {
	c    *exec.Cmd
	done chan error
}

func runStarter() {
	runtime.LockOSThread()
	for q := range starts {
		q.done <- q.c.Start()
	}
}

// startProcess starts a process that ends with this one.
func startProcess(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	q := startRequest{c, make(chan error, 1)}
	starts <- q
	return <-q.done
}

// killAll ends all processes that were started.
func killAll() {
	children.Lock()
	defer children.Unlock()
	children.done = true
	for _, c := range children.list {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	for _, c := range children.list {
		for range 100 {
			if c.Process.Signal(syscall.Signal(0)) != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// newFleet starts three core machines and edge machines in the given zones. If
// proxied, a proxy stands before the address of each machine for its peers.
func newFleet(e *environment, zones []string, memory int, proxied bool) (*fleet, error) {
	f := &fleet{e: e, proxied: proxied, memory: memory}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", f.prefix+"1:8229")
		if err == nil {
			_ = l.Close()
			break
		}
		f.prefix = ""
	}
	if f.prefix == "" {
		return nil, errors.New("no free loopback addresses")
	}
	for i := range 3 {
		f.cores = append(f.cores, f.newMachine(fmt.Sprint("core-", i+1), "core", fmt.Sprint("z", i), 10+i))
	}
	for i, zone := range zones {
		f.edges = append(f.edges, f.newMachine(fmt.Sprint("edge-", i+1), "edge", zone, 20+i))
	}
	for _, m := range f.machines() {
		if proxied {
			l, err := newLink(m)
			if err != nil {
				return nil, err
			}
			f.links = append(f.links, l)
		}
		if err := f.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	for _, m := range f.machines() {
		if err := f.start(m); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) newMachine(name, role, zone string, host int) *machine {
	m := &machine{name: name, role: role, zone: zone, ip: fmt.Sprint(f.prefix, host)}
	m.private = m.ip
	if f.proxied {
		m.private = fmt.Sprint(f.prefix, host+100)
	}
	return m
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine{}, f.cores...), f.edges...)
}

func (f *fleet) path(m *machine, suffix string) string {
	return filepath.Join(f.e.dir, m.name+suffix)
}

// writeSettings writes the settings file of a machine, with the fields of a small
// deployment.
func (f *fleet) writeSettings(m *machine, first bool) error {
	var seeds []string
	for _, c := range f.cores {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprint(c.ip, ":", controlPort)))
	}
	listen := fmt.Sprintf("ControlPlane = \"%s:%d\"", m.ip, controlPort)
	memory, disk, dataDir, serves := 280, 128, fmt.Sprintf("DataDir = %q\n", f.path(m, ".data")), "control"
	if m.role == "edge" {
		listen = fmt.Sprintf("Frontend = \"%s:%d\"\nReadiness = \"%s:%d\"", m.ip, frontendPort, m.ip, readinessPort)
		memory, disk, dataDir, serves = f.memory, 0, "", "edge"
	}
	text := fmt.Sprintf(`NodeName = %q
Role = %q
MachineClass = %q
Serves = [%q]
Ip = %q
Zone = %q
Region = "r"
PortRange = [%d,%d]
Seeds = [%s]
Bootstrap = %v
CountsAsLoss = %v
%s = 1200
%s[Listen]
%s
[Limits]
CpuFraction = 0.4
CpuCores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = %d
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
RetryBudgetRatio = 0.2
RetryWindowS = 10
BudgetSlack = 56
RecoveryS = 12
MaxDeliveryMs = 120
RetryAfterS = 8.3
settle_ms = 1500
`, m.name, m.role, m.role, serves, m.ip, m.zone, peerPort, peerPort+15, strings.Join(seeds, ","), first, m.role == "core", names["interval"], dataDir, listen, memory, disk)
	return os.WriteFile(f.path(m, ".toml"), []byte(text), 0o600)
}

// start starts the process of a machine with the command of the deploy file. With
// proxies the address to bind is given as well.
func (f *fleet) start(m *machine) error {
	log, err := os.OpenFile(f.path(m, ".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := []string{m.role}
	if f.proxied {
		args = append(args, "--bind", fmt.Sprint(m.private, ":", peerPort))
	}
	c := exec.Command(f.e.program, args...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.e.dir, "PAPAYAPOND_CONFIG=" + f.path(m, ".toml")}
	c.Stdout, c.Stderr = log, log
	children.Lock()
	if children.done {
		err = errors.New("the case has ended")
	} else if err = startProcess(c); err == nil {
		children.list = append(children.list, c)
	}
	children.Unlock()
	if err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = c, exited
	m.mu.Unlock()
	f.e.record.printf("%s: started at %s, process %d", m.name, m.ip, c.Process.Pid)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// pid returns the id of the process.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// signal sends a signal to the process.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.e.record.printf("%s: %v", m.name, s)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

// lastWords returns the first line of a panic in the log of a machine, or "".
func (f *fleet) lastWords(m *machine) string {
	data, err := os.ReadFile(f.path(m, ".log"))
	if err != nil {
		return ""
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return line
		}
	}
	return ""
}

// await waits until all edge machines count as ready.
func (f *fleet) await(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, m := range f.edges {
		for {
			r, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, readinessPort))
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready after %v", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.e.record.printf("all edge machines are ready")
	return nil
}
