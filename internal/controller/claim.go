package controller

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// retention is how long claims and orders are remembered, measured by the
// timestamps of commands.
const retention = 24 * time.Hour

// maxResponseBytes is the size of the largest response stored with an outcome.
const maxResponseBytes = 256 << 10

// requestKey identifies a request of an account or an order to a target.
type requestKey struct {
	owner   string
	request string
}

// expiryEntry records when a claim or an order was made. The entry of a claim
// is obsolete if the request was claimed again later.
type expiryEntry struct {
	time    int64
	isOrder bool
	requestKey
}

// claim assigns a call that must run at most once to a single attempt.
func (s *state) claim(m *wire.Claim) (proto.Message, error) {
	if m.Account == "" || m.Request == "" || m.Instance == "" {
		return nil, eris.Wrap(fault.Malformed, "claim requires an account, a request and an instance")
	}
	id := requestKey{m.Account, m.Request}
	if known := s.claims[id]; known != nil {
		if result := existingClaimResult(known, m); result != nil {
			return result, nil
		}
	}
	if m.Deadline != 0 && s.time > m.Deadline {
		return nil, eris.Wrapf(fault.Expired, "claim of request %s was committed after its deadline", m.Request)
	}
	if err := s.requireOpen(); err != nil {
		return nil, err
	}
	if _, ok := s.current.Account(m.Account); !ok {
		return nil, eris.Wrapf(fault.Missing, "account %s", m.Account)
	}
	s.claims[id] = &wire.ClaimState{Claim: m, Time: s.time}
	s.expiryQueue = append(s.expiryQueue, expiryEntry{time: s.time, requestKey: id})
	return &wire.ClaimResult{Granted: true, Instance: m.Instance}, nil
}

// existingClaimResult returns the result for a request that is already
// claimed, or nil if the earlier attempt did not run and m is a different
// attempt.
func existingClaimResult(known *wire.ClaimState, m *wire.Claim) *wire.ClaimResult {
	result := &wire.ClaimResult{Instance: known.Claim.Instance, Outcome: known.Outcome, Resolved: known.Outcome != nil}
	isResent := m.Attempt != 0 && isSameAttempt(known.Claim, m.Instance, m.Incarnation, m.Attempt)
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

func isSameAttempt(claim *wire.Claim, instance string, incarnation, attempt uint64) bool {
	return claim.Instance == instance && claim.Incarnation == incarnation && claim.Attempt == attempt
}

// resolve records the outcome of a claim, as reported by the attempt that
// holds it. An outcome is never replaced.
func (s *state) resolve(m *wire.Resolve) error {
	known := s.claims[requestKey{m.Account, m.Request}]
	if known == nil {
		return eris.Wrapf(fault.Missing, "claim of request %s", m.Request)
	}
	if !isSameAttempt(known.Claim, m.Instance, m.Incarnation, m.Attempt) {
		return eris.Wrapf(fault.Conflict, "request %s was claimed by another attempt on instance %s", m.Request, known.Claim.Instance)
	}
	outcome := proto.CloneOf(m)
	if len(outcome.Answer) > maxResponseBytes {
		outcome.Answer, outcome.Media = nil, ""
	}
	if known.Outcome == nil {
		known.Outcome = outcome
	} else if !proto.Equal(known.Outcome, outcome) {
		return eris.Wrapf(fault.Conflict, "request %s already has a different outcome", m.Request)
	}
	return nil
}

// expire removes claims and orders older than retention.
func (s *state) expire() {
	limit := s.time - int64(retention)
	n := 0
	for ; n < len(s.expiryQueue) && s.expiryQueue[n].time < limit; n++ {
		e := s.expiryQueue[n]
		if e.isOrder {
			delete(s.orders, e.requestKey)
		} else if known := s.claims[e.requestKey]; known != nil && known.Time == e.time {
			delete(s.claims, e.requestKey)
		}
	}
	s.expiryQueue = s.expiryQueue[n:]
}
