package controller

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// order issues an order to a target with the next fencing number.
func (s *state) order(m *wire.Order) (proto.Message, error) {
	if m.Target == "" || m.Request == "" || m.Verb == "" {
		return nil, eris.Wrap(fault.Malformed, "order without a target, a request or a verb")
	}
	id := identity{m.Target, m.Request}
	if known := s.orders[id]; known != nil {
		if !proto.Equal(known.Order, m) {
			return nil, eris.Wrapf(fault.Conflict, "order %s to target %s was %s %s", m.Request, m.Target, known.Order.Verb, known.Order.Subject)
		}
		return &wire.OrderResult{Fence: known.Fence, Outcome: known.Outcome, Detail: known.Detail}, nil
	}
	if s.phase == Closed {
		return nil, eris.Wrap(fault.Closed, "the venture is closed")
	}
	s.fences[m.Target]++
	fence := s.fences[m.Target]
	s.orders[id] = &wire.OrderState{Order: m, Fence: fence, Time: s.time, Index: s.index}
	s.aging = append(s.aging, aging{time: s.time, order: true, identity: id})
	return &wire.OrderResult{Fence: fence}, nil
}

// attempt records that an order is about to be sent. It is refused after the
// outcome, so that a member that missed the outcome doesn't send again.
func (s *state) attempt(m *wire.Attempt) error {
	id := identity{m.Target, m.Request}
	known, err := s.issued(id, m.Fence)
	if err != nil {
		return err
	}
	if known.Outcome != "" {
		return eris.Wrapf(fault.Conflict, "order %s to target %s is %s", m.Request, m.Target, known.Outcome)
	}
	// Readers share the records of orders, so a change makes a new one.
	next := proto.CloneOf(known)
	next.Attempts++
	s.orders[id] = next
	return nil
}

// conclude records the outcome of an order. The first outcome stays.
func (s *state) conclude(m *wire.Conclude) error {
	if m.Outcome == "" {
		return eris.Wrap(fault.Malformed, "conclusion without an outcome")
	}
	id := identity{m.Target, m.Request}
	known, err := s.issued(id, m.Fence)
	if err != nil {
		return err
	}
	if known.Outcome != "" {
		if known.Outcome != m.Outcome || known.Detail != m.Detail {
			return eris.Wrapf(fault.Conflict, "order %s to target %s is %s", m.Request, m.Target, known.Outcome)
		}
		return nil
	}
	next := proto.CloneOf(known)
	next.Outcome, next.Detail, next.Concluded = m.Outcome, m.Detail, s.time
	s.orders[id] = next
	return nil
}

// issued returns the order with this identity and fencing number.
func (s *state) issued(id identity, fence uint64) (*wire.OrderState, error) {
	known := s.orders[id]
	if known == nil {
		return nil, eris.Wrapf(fault.Missing, "order %s to target %s", id.request, id.owner)
	}
	if known.Fence != fence {
		return nil, eris.Wrapf(fault.Conflict, "order %s to target %s has fencing number %d, not %d", id.request, id.owner, known.Fence, fence)
	}
	return known, nil
}

// issues returns all known orders in the order of the log. The records must
// not be changed.
func (s *state) issues() []*wire.OrderState {
	return slices.SortedFunc(maps.Values(s.orders), func(x, y *wire.OrderState) int {
		return cmp.Or(cmp.Compare(x.Index, y.Index), cmp.Compare(x.Fence, y.Fence))
	})
}
