package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/client"
	"github.com/papayapond/papayapond/internal/sampler"
)

// patience bounds the wait for a state that the fleet must reach. It is far
// above the expected times, so that a busy machine doesn't fail a test.
const patience = 30 * time.Second

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "papayapond")
	if err != nil {
		panic(err)
	}
	binaries = dir
	// Each fleet has about ten processes; more at once would make the waits of
	// the tests depend on the number of cores.
	_ = flag.Set("test.parallel", "3")
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a set of processes on free loopback ports.
type fleet struct {
	t       *testing.T
	dir     string
	sampler *sampler.Sampler
	// authority issues the certificates, or is nil without TLS.
	authority *authority
	names     []string
	ports     []string
	procs     map[string]*process
	// targets counts the stand-in targets that have been started.
	targets int
	relays  map[[2]int]*relay
	// limits bound the size of each file of a process, in blocks of 512 bytes;
	// 0 is no bound.
	limits map[string]int64
}

// noSpace is a limit at which no file can take a byte.
const noSpace = -1

type process struct {
	cmd  *exec.Cmd
	done chan error
	log  string
}

// start starts the instances of a fleet with the given numbers per zone and
// submits the sample configuration. If cuttable is set, connections between
// zones run through relays.
func start(t *testing.T, zones []int, budget int64, cuttable bool) *fleet {
	t.Helper()
	return run(t, zones, budget, cuttable, nil)
}

// startSecure starts a fleet whose instances use TLS.
func startSecure(t *testing.T, zones []int, a *authority) *fleet {
	t.Helper()
	return run(t, zones, 100_000, false, a)
}

func run(t *testing.T, zones []int, budget int64, cuttable bool, a *authority) *fleet {
	t.Helper()
	t.Parallel()
	f := &fleet{t: t, authority: a, dir: t.TempDir(), procs: map[string]*process{}, relays: map[[2]int]*relay{}, limits: map[string]int64{}}
	total := 0
	for _, n := range zones {
		total += n
	}
	f.ports = freeAddresses(t, total*4)
	now := time.Now().UTC()
	cfg := sampler.Config{
		Zones: zones, Data: filepath.Join(f.dir, "data"), Budget: budget,
		Address: func(i, server int) string { return f.ports[i*4+server] },
		Start:   now.AddDate(0, 0, -1), End: now.AddDate(0, 0, 1),
	}
	if cuttable {
		cfg.Peer = f.relayed(zones)
	}
	f.sampler = sampler.New(cfg)
	f.names = f.sampler.Names()
	t.Cleanup(f.stop)
	for i := range f.names {
		f.serve(i)
	}
	f.eventually("accept the configuration", func() error {
		_, err := f.client(0).Call(t.Context(), http.MethodPut, "/v1/configuration", f.sampler.Configuration())
		return err
	})
	for i := range f.names {
		f.eventually("be ready", func() error { return f.ready(i) })
	}
	f.eventually("open the books of all zones", func() error {
		s, err := f.statement(0)
		if err == nil && len(s.Missing) > 0 {
			err = fmt.Errorf("missing %v", s.Missing)
		}
		return err
	})
	return f
}

// relayed returns the addresses of peers: direct inside a zone, through a
// relay between zones.
func (f *fleet) relayed(zones []int) func(from, to int) string {
	var zoneOf []int
	for z, n := range zones {
		for range n {
			zoneOf = append(zoneOf, z)
		}
	}
	for from := range zoneOf {
		for to := range zoneOf {
			if zoneOf[from] != zoneOf[to] {
				f.relays[[2]int{from, to}] = newRelay(f.t, f.ports[to*4+2])
			}
		}
	}
	return func(from, to int) string {
		if r := f.relays[[2]int{from, to}]; r != nil {
			return r.address()
		}
		return f.ports[to*4+2]
	}
}

// cut separates the instances for which side is true from the others, or
// joins them again.
func (f *fleet) cut(side func(i int) bool, on bool) {
	for pair, r := range f.relays {
		if side(pair[0]) != side(pair[1]) {
			r.cut(on)
		}
	}
}

func (f *fleet) serve(i int) {
	f.t.Helper()
	path := filepath.Join(f.dir, f.names[i]+".toml")
	text := f.sampler.Settings(i)
	if f.authority != nil {
		text = append(text, f.authority.settings(f.names[i])...)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.spawn(f.names[i], "papayapond", "serve", path)
}

// engine starts a stand-in engine that announces itself to the given
// instances. Use routes to wait until an instance knows it.
func (f *fleet) engine(name, zone string, entries []int, args ...string) {
	f.t.Helper()
	all := []string{"--name", name, "--zone", zone, "--address", "127.0.0.1:0", "--model", sampler.Model, "--key", sampler.EngineKey, "--output", "64", "--shortest", "1"}
	for _, i := range entries {
		all = append(all, "--entry", f.public(i))
	}
	f.targets++
	f.spawn(name, "papayaengine", append(all, args...)...)
}

func (f *fleet) orders(name, zone string, entries []int, args ...string) {
	f.t.Helper()
	all := []string{"--name", name, "--zone", zone, "--address", "127.0.0.1:0", "--key", sampler.OrderKey}
	for _, i := range entries {
		all = append(all, "--entry", f.public(i))
	}
	f.targets++
	f.spawn(name, "papayaorder", append(all, args...)...)
}

func (f *fleet) spawn(name, program string, args ...string) {
	f.t.Helper()
	log := filepath.Join(f.dir, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	if blocks := f.limits[name]; blocks != 0 {
		cmd = exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -f %d; exec "$0" "$@"`, max(blocks, 0)), cmd.Path}, args...)...)
		// The limit must not hold for the log of the test: a pipe has none.
		w := struct{ io.Writer }{out}
		cmd.Stdout, cmd.Stderr = w, w
	}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p := &process{cmd: cmd, done: make(chan error, 1), log: log}
	go func() {
		p.done <- cmd.Wait()
		_ = out.Close()
	}()
	f.procs[name] = p
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	if err := f.procs[name].cmd.Process.Signal(s); err != nil {
		f.t.Fatalf("signal %s: %v", name, err)
	}
}

// wait returns the error of the process when it has ended.
func (p *process) wait() error { return <-p.done }

// hasEnded tells whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case err := <-p.done:
		p.done <- err
		return true
	default:
		return false
	}
}

// kill ends a process at once and waits for its end.
func (f *fleet) kill(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	_ = f.procs[name].wait()
	delete(f.procs, name)
}

func (f *fleet) stop() {
	for _, p := range f.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.wait()
	}
	for _, r := range f.relays {
		r.close()
	}
	if !f.t.Failed() {
		return
	}
	for name := range f.procs {
		text, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		f.t.Logf("last lines of %s:\n%s", name, strings.Join(lines[max(0, len(lines)-30):], "\n"))
	}
}

func (f *fleet) public(i int) string { return f.ports[i*4] }

func (f *fleet) client(i int) *client.Client {
	return client.New(client.Config{Address: f.ports[i*4+1], Key: sampler.OperatorKey})
}

// eventually repeats an attempt until it succeeds.
func (f *fleet) eventually(what string, attempt func() error) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := attempt()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("did not %s within %v: %v", what, patience, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) ready(i int) error {
	r, err := http.Get("http://" + f.public(i) + "/readyz")
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%s is not ready", f.names[i])
	}
	return nil
}

// routes waits until an instance knows all targets that have been started.
func (f *fleet) routes(i int) {
	f.t.Helper()
	f.eventually("route", func() error {
		r, err := http.Get("http://" + f.ports[i*4+3] + "/metrics")
		if err != nil {
			return err
		}
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return err
		}
		ready := 0
		for line := range strings.Lines(string(text)) {
			_, _ = fmt.Sscanf(line, `papayapond_targets{state="ready"} %d`, &ready)
		}
		if ready < f.targets {
			return fmt.Errorf("%s knows %d ready targets, want %d", f.names[i], ready, f.targets)
		}
		return nil
	})
}

// answer is what a caller got. Err is set if the connection broke.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// code returns the code and the run value of a refusal.
func (a answer) code() (code, run string) {
	text := a.body
	if i := strings.Index(text, "event: error\ndata: "); i >= 0 {
		text = text[i+len("event: error\ndata: "):]
	}
	var r struct {
		Error struct{ Code, Run string }
	}
	_ = json.NewDecoder(strings.NewReader(text)).Decode(&r)
	return r.Error.Code, r.Error.Run
}

func (f *fleet) call(i int, method, path, body, identity, key string) answer {
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+f.public(i)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	q.Header.Set("Authorization", "Bearer "+key)
	if identity != "" {
		q.Header.Set("Idempotency-Key", identity)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, body: string(text), header: r.Header, err: err}
}

// chat sends a completion as the account wondimu.
func (f *fleet) chat(i int, prompt string, tokens int, stream bool, identity string) answer {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%v,"messages":[{"role":"user","content":%q}]}`, sampler.Model, tokens, stream, prompt)
	return f.call(i, http.MethodPost, "/v1/chat/completions", body, identity, sampler.WondimuKey)
}

// fleets counts the fleets of this process.
var fleets atomic.Int64

// freeAddresses returns addresses with ports that the kernel chose, on a
// loopback IP number of this fleet alone. On a shared one, the port of an
// outgoing connection could take the address before the instance listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid/250%128, 1+pid%250, 1+fleets.Add(1)%250)
	var listeners []net.Listener
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return addresses
}
