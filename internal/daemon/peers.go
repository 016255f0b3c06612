package daemon

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// callTimeout bounds a call to one peer that has no deadline of its own.
	callTimeout = 2 * time.Second
	// proposeTimeout bounds a proposal; it covers one change of the leader.
	proposeTimeout = 5 * time.Second
)

// peers calls the services of other instances by their names.
type peers struct {
	dialer *dialer.Dialer
}

func (p *peers) books(name string) wire.DRPCBooksClient {
	return wire.NewDRPCBooksClient(p.dialer.Conn(name))
}

func (p *peers) control(name string) wire.DRPCControlClient {
	return wire.NewDRPCControlClient(p.dialer.Conn(name))
}

func (p *peers) log(name string) wire.DRPCLogClient {
	return wire.NewDRPCLogClient(p.dialer.Conn(name))
}

func (p *peers) fleet(name string) wire.DRPCFleetClient {
	return wire.NewDRPCFleetClient(p.dialer.Conn(name))
}

// faulty is a reply that may hold an error of the closed list.
type faulty interface {
	GetFault() *wire.Fault
}

// unwrap turns the fault of a reply into an error, and an error of the
// transport into fault.Unavailable.
func unwrap[R faulty](reply R, err error) (R, error) {
	if err != nil {
		return reply, eris.Wrapf(fault.Unavailable, "%v", err)
	}
	return reply, reply.GetFault().Err()
}

// first calls the named instances in turn until one answers. A refusal is an
// answer, but for those that say that the instance can't answer now.
func first[R faulty](ctx context.Context, names []string, timeout time.Duration, call func(ctx context.Context, name string) (R, error)) (R, error) {
	var reply R
	err := eris.Wrap(fault.Unavailable, "no holder")
	var isolated error
	for _, name := range names {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		reply, err = unwrap(call(attempt, name))
		cancel()
		if err == nil || !isRetryable(fault.Of(err)) || ctx.Err() != nil {
			return reply, err
		}
		if fault.Of(err) == fault.Isolated && isolated == nil {
			isolated = err
		}
	}
	if isolated != nil {
		// A member that answers knows that there is no quorum; that the others
		// can't be reached is the reason, not the answer.
		return reply, isolated
	}
	return reply, err
}

func isRetryable(k fault.Kind) bool {
	return k == fault.Unavailable || k == fault.Isolated || k == fault.Draining || k == fault.Corrupt
}

// propose sends a command to the first control member that accepts it.
func (p *peers) propose(holders []string) func(context.Context, *wire.Command) (*wire.ProposeReply, error) {
	return func(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error) {
		command.Time = time.Now().UnixNano()
		return first(ctx, holders, proposeTimeout, func(ctx context.Context, name string) (*wire.ProposeReply, error) {
			return p.control(name).Propose(ctx, &wire.ProposeRequest{Command: command})
		})
	}
}

// read reads the state of the first control member that answers.
func (p *peers) read(holders []string) func(context.Context, *wire.ReadRequest) (*wire.ReadReply, error) {
	return func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
		return first(ctx, holders, callTimeout, func(ctx context.Context, name string) (*wire.ReadReply, error) {
			return p.control(name).Read(ctx, request)
		})
	}
}

// tally asks the ledgers of all zones at the same time and returns the
// replies by zone.
func (p *peers) tally(holders map[string]string) func(context.Context, *wire.TallyRequest) map[string]*wire.TallyReply {
	return func(ctx context.Context, request *wire.TallyRequest) map[string]*wire.TallyReply {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var mu sync.Mutex
		replies := map[string]*wire.TallyReply{}
		var group sync.WaitGroup
		for zone, name := range holders {
			group.Go(func() {
				reply, err := unwrap(p.books(name).Tally(ctx, request))
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				replies[zone] = reply
			})
		}
		group.Wait()
		return replies
	}
}

// isRefused tells whether an error means that nothing listens at the address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
