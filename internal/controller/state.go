package controller

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// state is what the log determines. Controller guards it.
type state struct {
	logger *zap.Logger

	index     uint64
	time      int64 // latest time of a command, in Unix nanoseconds
	phase     string
	current   *configuration.Configuration
	zones     []string
	pools     map[string]*pool
	topups    map[string]*wire.Topup
	ledgers   map[string]*ledger // by zone
	claims    map[identity]*wire.ClaimState
	orders    map[identity]*wire.OrderState
	fences    map[string]uint64 // by target
	aging     []aging           // claims and orders, oldest first
	accepted  []*wire.Accepted  // latest versions, oldest first
	statement *wire.Statement
}

func newState(logger *zap.Logger) *state {
	return &state{
		logger:  logger,
		phase:   Open,
		pools:   map[string]*pool{},
		topups:  map[string]*wire.Topup{},
		ledgers: map[string]*ledger{},
		claims:  map[identity]*wire.ClaimState{},
		orders:  map[identity]*wire.OrderState{},
		fences:  map[string]uint64{},
	}
}

func (s *state) version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version()
}

// apply changes the state by one encoded command.
func (s *state) apply(index uint64, command []byte) *wire.ProposeReply {
	s.index = index
	reply := &wire.ProposeReply{Index: index}
	var m wire.Command
	if err := proto.Unmarshal(command, &m); err != nil {
		reply.Fault = wire.NewFault(eris.Wrap(fault.Malformed, "command can't be decoded"))
		return reply
	}
	// A leader with a slow clock must not bring back expired claims.
	s.time = max(s.time, m.Time)
	s.expire()
	result, err := s.change(&m)
	if err != nil {
		reply.Fault = wire.NewFault(err)
	} else if result != nil {
		reply.Result = encode(result)
	}
	return reply
}

// change applies the change of a command. On an error the state is as before,
// but for an account that is stopped.
func (s *state) change(m *wire.Command) (proto.Message, error) {
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
	return nil, eris.Wrap(fault.Malformed, "command without a change")
}

// open returns an error unless the venture has a configuration and is open.
func (s *state) open() error {
	if s.current == nil {
		return eris.Wrap(fault.Closed, "no configuration has been accepted")
	}
	if s.phase != Open {
		return eris.Wrapf(fault.Closed, "the venture is %s", s.phase)
	}
	return nil
}
