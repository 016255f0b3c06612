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

// order issues an order to a target with the target's next fencing number.
func (s *state) order(m *wire.Order) (proto.Message, error) {
	if m.Target == "" || m.Request == "" || m.Verb == "" {
		return nil, eris.Wrap(fault.Malformed, "order requires a target, a request and a verb")
	}
	id := requestKey{m.Target, m.Request}
	if known := s.orders[id]; known != nil {
		if !proto.Equal(known.Order, m) {
			return nil, eris.Wrapf(fault.Conflict, "order %s to target %s was issued as %s %s", m.Request, m.Target, known.Order.Verb, known.Order.Subject)
		}
		return &wire.OrderResult{Fence: known.Fence, Outcome: known.Outcome, Detail: known.Detail}, nil
	}
	if s.phase == Closed {
		return nil, eris.Wrap(fault.Closed, "the venture is closed")
	}
	s.fences[m.Target]++
	fence := s.fences[m.Target]
	s.orders[id] = &wire.OrderState{Order: m, Fence: fence, Time: s.time, Index: s.index}
	s.expiryQueue = append(s.expiryQueue, expiryEntry{time: s.time, isOrder: true, requestKey: id})
	return &wire.OrderResult{Fence: fence}, nil
}

// attempt records that an order is about to be sent. It fails once the order
// has an outcome, so that a member that missed the outcome doesn't send the
// order again.
func (s *state) attempt(m *wire.Attempt) error {
	id := requestKey{m.Target, m.Request}
	known, err := s.findOrder(id, m.Fence)
	if err != nil {
		return err
	}
	if known.Outcome != "" {
		return eris.Wrapf(fault.Conflict, "order %s to target %s already has outcome %s", m.Request, m.Target, known.Outcome)
	}
	// Readers share the order records, so copy the record before changing it.
	next := proto.CloneOf(known)
	next.Attempts++
	s.orders[id] = next
	return nil
}

// conclude records the outcome of an order. An outcome is never replaced.
func (s *state) conclude(m *wire.Conclude) error {
	if m.Outcome == "" {
		return eris.Wrap(fault.Malformed, "conclude requires an outcome")
	}
	id := requestKey{m.Target, m.Request}
	known, err := s.findOrder(id, m.Fence)
	if err != nil {
		return err
	}
	if known.Outcome != "" {
		if known.Outcome != m.Outcome || known.Detail != m.Detail {
			return eris.Wrapf(fault.Conflict, "order %s to target %s already has outcome %s", m.Request, m.Target, known.Outcome)
		}
		return nil
	}
	next := proto.CloneOf(known)
	next.Outcome, next.Detail, next.Concluded = m.Outcome, m.Detail, s.time
	s.orders[id] = next
	return nil
}

// findOrder returns the order with the given key and fencing number.
func (s *state) findOrder(id requestKey, fence uint64) (*wire.OrderState, error) {
	known := s.orders[id]
	if known == nil {
		return nil, eris.Wrapf(fault.Missing, "order %s to target %s", id.request, id.owner)
	}
	if known.Fence != fence {
		return nil, eris.Wrapf(fault.Conflict, "order %s to target %s has fencing number %d, got %d", id.request, id.owner, known.Fence, fence)
	}
	return known, nil
}

// sortedOrders returns all orders sorted by log index. The records must not be
// modified.
func (s *state) sortedOrders() []*wire.OrderState {
	return slices.SortedFunc(maps.Values(s.orders), func(x, y *wire.OrderState) int {
		return cmp.Or(cmp.Compare(x.Index, y.Index), cmp.Compare(x.Fence, y.Fence))
	})
}
