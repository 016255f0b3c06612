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
	// callTimeout bounds a call to a peer if the call has no deadline of its own.
	callTimeout = 2 * time.Second
	// proposeTimeout bounds a proposal. It is long enough for one leader election.
	proposeTimeout = 5 * time.Second
)

// peers returns clients for the services of other instances by instance name.
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

// faultGetter is a reply that may carry one of the defined error codes.
type faultGetter interface {
	GetFault() *wire.Fault
}

// unwrap converts the fault of a reply into an error, and a transport error into
// fault.Unavailable.
func unwrap[R faultGetter](reply R, err error) (R, error) {
	if err != nil {
		return reply, eris.Wrapf(fault.Unavailable, "%v", err)
	}
	return reply, reply.GetFault().Err()
}

// failover calls the named instances in turn until one answers. An error reply
// counts as an answer unless it is retryable.
func failover[R faultGetter](ctx context.Context, names []string, timeout time.Duration, call func(ctx context.Context, name string) (R, error)) (R, error) {
	var reply R
	err := eris.Wrap(fault.Unavailable, "settings name no holder")
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
		// A member that answered without a quorum explains the failure better
		// than the members that couldn't be reached.
		return reply, isolated
	}
	return reply, err
}

// isRetryable reports whether another instance may succeed after a fault of
// kind k.
func isRetryable(k fault.Kind) bool {
	return k == fault.Unavailable || k == fault.Isolated || k == fault.Draining || k == fault.Corrupt
}

// propose returns a function that sends a command to the first control member
// that answers.
func (p *peers) propose(holders []string) func(context.Context, *wire.Command) (*wire.ProposeReply, error) {
	return func(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error) {
		command.Time = time.Now().UnixNano()
		return failover(ctx, holders, proposeTimeout, func(ctx context.Context, name string) (*wire.ProposeReply, error) {
			return p.control(name).Propose(ctx, &wire.ProposeRequest{Command: command})
		})
	}
}

// read returns a function that reads state from the first control member that
// answers.
func (p *peers) read(holders []string) func(context.Context, *wire.ReadRequest) (*wire.ReadReply, error) {
	return func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
		return failover(ctx, holders, callTimeout, func(ctx context.Context, name string) (*wire.ReadReply, error) {
			return p.control(name).Read(ctx, request)
		})
	}
}

// tally returns a function that queries the ledgers of all zones concurrently
// and returns the replies by zone, without the zones that failed.
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

// isRefused reports whether the peer refused the connection, so nothing listens
// at its address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
