package controller

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// state is the state determined by the log. Controller.mu guards it.
type state struct {
	logger *zap.Logger

	index       uint64
	time        int64 // latest command time, in Unix nanoseconds
	phase       string
	current     *configuration.Configuration
	zones       []string
	pools       map[string]*pool
	topups      map[string]*wire.Topup
	ledgers     map[string]*ledger // by zone
	claims      map[requestKey]*wire.ClaimState
	orders      map[requestKey]*wire.OrderState
	fences      map[string]uint64 // by target
	expiryQueue []expiryEntry     // claims and orders, oldest first
	accepted    []*wire.Accepted  // latest accepted versions, oldest first
	statement   *wire.Statement
}

func newState(logger *zap.Logger) *state {
	return &state{
		logger:  logger,
		phase:   Open,
		pools:   map[string]*pool{},
		topups:  map[string]*wire.Topup{},
		ledgers: map[string]*ledger{},
		claims:  map[requestKey]*wire.ClaimState{},
		orders:  map[requestKey]*wire.OrderState{},
		fences:  map[string]uint64{},
	}
}

func (s *state) version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version()
}

// apply applies one encoded command.
func (s *state) apply(index uint64, command []byte) *wire.ProposeReply {
	s.index = index
	reply := &wire.ProposeReply{Index: index}
	var m wire.Command
	if err := proto.Unmarshal(command, &m); err != nil {
		reply.Fault = wire.NewFault(eris.Wrap(fault.Malformed, "cannot decode command"))
		return reply
	}
	// The time never goes back, so that a leader with a slow clock can't revive
	// expired claims.
	s.time = max(s.time, m.Time)
	s.expire()
	result, err := s.dispatch(&m)
	if err != nil {
		reply.Fault = wire.NewFault(err)
	} else if result != nil {
		reply.Result = encode(result)
	}
	return reply
}

// dispatch applies the change of a command. On an error the state is unchanged,
// except that an account may have been stopped.
func (s *state) dispatch(m *wire.Command) (proto.Message, error) {
	switch change := m.Change.(type) {
	case *wire.Command_Configure:
		return s.configure(change.Configure)
	case *wire.Command_Topup:
		return s.topup(change.Topup)
	case *wire.Command_Grant:
		return s.grant(change.Grant)
	case *wire.Command_Released:
		return nil, s.release(change.Released)
	case *wire.Command_Claim:
		return s.claim(change.Claim)
	case *wire.Command_Resolve:
		return nil, s.resolve(change.Resolve)
	case *wire.Command_Epoch:
		return s.epoch(change.Epoch)
	case *wire.Command_Dissolve:
		return nil, s.dissolve()
	case *wire.Command_Close:
		return s.close(change.Close)
	case *wire.Command_Order:
		return s.order(change.Order)
	case *wire.Command_Attempt:
		return nil, s.attempt(change.Attempt)
	case *wire.Command_Conclude:
		return nil, s.conclude(change.Conclude)
	}
	return nil, eris.Wrap(fault.Malformed, "command has no change")
}

// requireOpen returns an error unless the venture is open and has a
// configuration.
func (s *state) requireOpen() error {
	if s.current == nil {
		return eris.Wrap(fault.Closed, "no configuration has been accepted")
	}
	if s.phase != Open {
		return eris.Wrapf(fault.Closed, "the venture is %s", s.phase)
	}
	return nil
}
