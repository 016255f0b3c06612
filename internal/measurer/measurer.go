package measurer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/controller"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

// settleTime passes before the counting begins.
const settleTime = 3 * time.Second

// Config configures a Measurer.
type Config struct {
	// Address is that of the holder.
	Address string
	// Instances and Targets are the numbers of entry instances and targets.
	Instances, Targets int
	// Events is the number of cache events in each announcement.
	Events int
	// Accounts is the number of client accounts in the configuration.
	Accounts int
	// Changes is the number of changes of the configuration per second.
	Changes float64
	// Time is the time of counting.
	Time time.Duration
}

// Result holds what was counted, per second.
type Result struct {
	Processor float64 `json:"processor_ms"` // processor time of the process
	Sent      float64 `json:"sent_bytes"`
	Received  float64 `json:"received_bytes"`
	Messages  float64 `json:"messages"` // calls and updates
	Heap      float64 `json:"heap_mib"` // at the end
	Peak      float64 `json:"peak_mib"` // largest resident memory of the process
	Version   uint64  `json:"version"`  // configuration in force on the last instance
	Ready     float64 `json:"ready_s"`  // time until all instances had a configuration, 0 if not all had
	Silent    int64   `json:"silent"`   // streams that were ended because they went silent
}

// Measurer measures one side.
type Measurer struct {
	cfg            Config
	sent, received atomic.Int64
	messages       atomic.Int64
	silent         atomic.Int64
}

// New returns a measurer.
func New(cfg Config) *Measurer { return &Measurer{cfg: cfg} }

// count runs the traffic and returns its counts. Stop ends the traffic.
func (m *Measurer) count(ctx context.Context) (Result, error) {
	if !sleep(ctx, settleTime) {
		return Result{}, ctx.Err()
	}
	m.sent.Store(0)
	m.received.Store(0)
	m.messages.Store(0)
	begin, used := time.Now(), processor()
	if !sleep(ctx, m.cfg.Time) {
		return Result{}, ctx.Err()
	}
	seconds := time.Since(begin).Seconds()
	r := Result{
		Processor: (processor() - used).Seconds() * 1000 / seconds,
		Sent:      float64(m.sent.Load()) / seconds,
		Received:  float64(m.received.Load()) / seconds,
		Messages:  float64(m.messages.Load()) / seconds,
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	r.Heap = float64(memory.HeapAlloc) / (1 << 20)
	r.Peak = float64(usage().Maxrss) / (1 << 10)
	return r, nil
}

// usage returns what this process has used so far.
func usage() (u syscall.Rusage) {
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // doesn't fail for the process itself
	return u
}

// processor returns the processor time of this process.
func processor() time.Duration {
	usage := usage()
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	m *Measurer
}

// Read reads from the connection.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.received.Add(int64(n))
	return n, err
}

// Write writes to the connection.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent.Add(int64(n))
	return n, err
}

// log is a log of one member.
type log struct {
	controller *controller.Controller
	index      uint64
}

func newLog(accounts int) (*log, error) {
	l := &log{controller: controller.New(controller.Config{
		Barrier: func(context.Context) error { return nil },
		Leader:  func() string { return "holder" },
		Logger:  zap.NewNop(),
	})}
	return l, l.configure(&wire.Configure{Document: document(1, 0, accounts), Zones: []string{"a"}})
}

// configure applies one change of the configuration.
func (l *log) configure(m *wire.Configure) error {
	data, err := (&controllerCommand{m}).encode()
	if err != nil {
		return err
	}
	l.index++
	return result(l.controller.Apply(l.index, data))
}

// document is a configuration in which one account has another weight in each
// version.
func document(version, replaces uint64, accounts int) []byte {
	now := time.Now().UTC().Truncate(24 * time.Hour)
	v := venture.New("measurement", now.AddDate(0, 0, -1), now.AddDate(1, 0, 0)).WithVersion(version, replaces)
	list := make([]account.Account, accounts)
	for i := range list {
		list[i] = changed(i, 1)
	}
	return printer.Text(v.WithAccounts(list...))
}

func changed(i int, weight int64) account.Account {
	name := fmt.Sprintf("account-%06d", i)
	return account.New(name, 1_000_000).WithKeys(account.Hash([]byte("saltsalt"), name)).WithWeight(weight)
}

func unavailable(err error, what string) error {
	return eris.Wrapf(fault.Unavailable, "%s: %v", what, err)
}
