package controller

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// kept is the time for which claims and orders are known, by the time of
// commands.
const kept = 24 * time.Hour

// maxAnswer is the size of the largest answer that is kept, in bytes.
const maxAnswer = 256 << 10

// identity is a request of an account, or an order to a target.
type identity struct {
	owner   string
	request string
}

// aging is the time of a claim or an order. It is out of date if the claim
// was made again later.
type aging struct {
	time  int64
	order bool
	identity
}

// claim reserves a call that must run at most once for one attempt.
func (s *state) claim(m *wire.Claim) (proto.Message, error) {
	if m.Account == "" || m.Request == "" || m.Instance == "" {
		return nil, eris.Wrap(fault.Malformed, "claim without an account, a request or an instance")
	}
	id := identity{m.Account, m.Request}
	if known := s.claims[id]; known != nil {
		if result := answer(known, m); result != nil {
			return result, nil
		}
	}
	if m.Deadline != 0 && s.time > m.Deadline {
		return nil, eris.Wrapf(fault.Expired, "claim of request %s was committed after its deadline", m.Request)
	}
	if err := s.open(); err != nil {
		return nil, err
	}
	if _, ok := s.current.Account(m.Account); !ok {
		return nil, eris.Wrapf(fault.Missing, "account %s", m.Account)
	}
	s.claims[id] = &wire.ClaimState{Claim: m, Time: s.time}
	s.aging = append(s.aging, aging{time: s.time, identity: id})
	return &wire.ClaimResult{Granted: true, Instance: m.Instance}, nil
}

// answer returns the result of a claim of a known request, or nil if the
// known claim is void and this is another attempt.
func answer(known *wire.ClaimState, m *wire.Claim) *wire.ClaimResult {
	result := &wire.ClaimResult{Instance: known.Claim.Instance, Outcome: known.Outcome, Resolved: known.Outcome != nil}
	isResent := m.Attempt != 0 && isAttempt(known.Claim, m.Instance, m.Incarnation, m.Attempt)
	switch {
	case known.Outcome != nil && !known.Outcome.Ran && !isResent:
		return nil
	case !bytes.Equal(known.Claim.Digest, m.Digest):
		return &wire.ClaimResult{Conflict: true, Instance: known.Claim.Instance}
	case known.Outcome == nil:
		result.Granted = isResent
	}
	return result
}

func isAttempt(claim *wire.Claim, instance string, incarnation, attempt uint64) bool {
	return claim.Instance == instance && claim.Incarnation == incarnation && claim.Attempt == attempt
}

// resolve records the outcome of a claim, by the attempt that made it. An
// outcome is never replaced.
func (s *state) resolve(m *wire.Resolve) error {
	known := s.claims[identity{m.Account, m.Request}]
	if known == nil {
		return eris.Wrapf(fault.Missing, "claim of request %s", m.Request)
	}
	if !isAttempt(known.Claim, m.Instance, m.Incarnation, m.Attempt) {
		return eris.Wrapf(fault.Conflict, "request %s was claimed by another attempt, of %s", m.Request, known.Claim.Instance)
	}
	outcome := proto.CloneOf(m)
	if len(outcome.Answer) > maxAnswer {
		outcome.Answer, outcome.Media = nil, ""
	}
	if known.Outcome == nil {
		known.Outcome = outcome
	} else if !proto.Equal(known.Outcome, outcome) {
		return eris.Wrapf(fault.Conflict, "request %s has another outcome", m.Request)
	}
	return nil
}

// expire forgets claims and orders that are kept no longer.
func (s *state) expire() {
	limit := s.time - int64(kept)
	n := 0
	for ; n < len(s.aging) && s.aging[n].time < limit; n++ {
		a := s.aging[n]
		if a.order {
			delete(s.orders, a.identity)
		} else if known := s.claims[a.identity]; known != nil && known.Time == a.time {
			delete(s.claims, a.identity)
		}
	}
	s.aging = s.aging[n:]
}
