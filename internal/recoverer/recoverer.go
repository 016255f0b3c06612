package recoverer

import (
	"fmt"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/papayapond/papayapond/internal/fault"
)

// maxStackBytes limits the stack in a log line. The first frames show the cause.
const maxStackBytes = 16 << 10

// ErrPanic is returned by a task that panicked. It wraps fault.Internal.
var ErrPanic = eris.Wrap(fault.Internal, "the task panicked")

// Config configures a Recoverer.
type Config struct {
	// Logger is told of each panic; nil for none.
	Logger *zap.Logger
	// OnPanic, if not nil, is called with the name of the task that panicked.
	OnPanic func(task string)
}

// Recoverer runs tasks that may panic. It is safe for concurrent use.
type Recoverer struct{ cfg Config }

// New returns a recoverer.
func New(cfg Config) *Recoverer {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.OnPanic == nil {
		cfg.OnPanic = func(string) {}
	}
	return &Recoverer{cfg}
}

// Do runs a task. The error is that of the task, or wraps ErrPanic if it panicked. The
// fields tell in the log what the task belongs to.
func (r *Recoverer) Do(task string, run func() error, fields ...zap.Field) (err error) {
	defer func() {
		if v := recover(); v != nil {
			r.Report(task, v, fields...)
			err = eris.Wrapf(ErrPanic, "%s: %v", task, v)
		}
	}()
	return run()
}

// Run is like Do for a task without an error.
func (r *Recoverer) Run(task string, run func(), fields ...zap.Field) {
	_ = r.Do(task, func() error { // Do has reported the panic
		run()
		return nil
	}, fields...)
}

// Wrap returns a function for a timer or a goroutine that calls Run.
func (r *Recoverer) Wrap(task string, run func(), fields ...zap.Field) func() {
	return func() { r.Run(task, run, fields...) }
}

// Report logs and counts a panic that the caller has recovered with a value. It must be
// called in the deferred function that has recovered it, so that the stack is that of
// the panic.
func (r *Recoverer) Report(task string, value any, fields ...zap.Field) {
	stack := debug.Stack()
	r.cfg.Logger.Error("panic recovered", append([]zap.Field{
		zap.String("task", task), zap.String("panic", fmt.Sprint(value)), zap.ByteString("stack", stack[:min(len(stack), maxStackBytes)]),
	}, fields...)...)
	r.cfg.OnPanic(task)
}

// handler is a drpc handler whose calls fail with an error if they panic.
type handler struct {
	r    *Recoverer
	next drpc.Handler
}

// Handler returns a handler that calls next, for a server whose calls change no durable
// state. The server of drpc runs each call in a goroutine and recovers no panic.
func (r *Recoverer) Handler(next drpc.Handler) drpc.Handler { return &handler{r, next} }

// HandleRPC implements drpc.Handler.
func (h *handler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.r.Do("call", func() error { return h.next.HandleRPC(stream, rpc) }, zap.String("rpc", rpc))
}
