package core_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/core"
	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/wire"
)

// start runs a core instance that is alone until the returned function is called.
func start(t *testing.T, address, dir string) (stop func()) {
	t.Helper()
	c, err := core.New(core.Config{
		Address: address, InitialMembers: []string{address}, Seeds: func() []string { return nil }, Voters: 1, VoterTimeout: time.Minute, DataDir: dir, Logger: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- c.Run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// eventually calls an instance until it answers without a fault.
func eventually(t *testing.T, call func(ctx context.Context) (*wire.Fault, error)) {
	t.Helper()
	var last error
	for range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		f, err := call(ctx)
		cancel()
		if last = errors.Join(err, f.Err()); last == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("no answer within 10 s: %v", last)
}

// A core process that is started again must know from its disk which version began a
// stream, although all entry instances may be gone.
func TestRecordsOnDisk(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address, dir := l.Addr().String(), t.TempDir()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	stop := start(t, address, dir)
	d := dialer.New(dialer.Config{})
	defer d.Close()
	q := &wire.SyncRequest{Instance: "e#1", Origins: []*wire.Origins{{Pool: "p", Version: "v1", Attempts: []uint64{7}}}}
	eventually(t, func(ctx context.Context) (*wire.Fault, error) {
		q.Sequence++
		r, err := wire.NewDRPCSteeringClient(d.Conn(address)).Sync(ctx, q)
		return r.GetFault(), err
	})
	stop()
	stop = start(t, address, dir)
	defer stop()
	eventually(t, func(ctx context.Context) (*wire.Fault, error) {
		r, err := wire.NewDRPCSteeringClient(d.Conn(address)).Trace(ctx, &wire.TraceRequest{Attempt: 7})
		if err == nil && r.Fault.Err() == nil && (!r.Recorded || r.Pool != "p" || r.Version != "v1") {
			t.Errorf("after a restart: got %v, want the record of v1", r)
		}
		return r.GetFault(), err
	})
}
