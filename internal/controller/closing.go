package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// dissolve starts the dissolution of the venture. It is idempotent.
func (s *state) dissolve() error {
	if s.current == nil {
		return eris.Wrap(fault.Missing, "no configuration has been accepted")
	}
	if s.phase == Open {
		s.phase = Dissolving
	}
	return nil
}

// close closes the venture with a final statement. Resending the same balances
// returns the same statement.
func (s *state) close(m *wire.Close) (proto.Message, error) {
	if s.phase == Closed {
		if problems := s.differences(m.Balances); len(problems) > 0 {
			return nil, eris.Wrapf(fault.Conflict, "the venture was closed with different balances: %s", strings.Join(problems, "; "))
		}
		return s.statement, nil
	}
	if s.phase != Dissolving {
		return nil, eris.Wrap(fault.Conflict, "the venture is not dissolving")
	}
	if problems := s.reconcile(m.Balances); len(problems) > 0 {
		return nil, eris.Wrapf(fault.Conflict, "balances don't reconcile: %s", strings.Join(problems, "; "))
	}
	for _, b := range m.Balances {
		if err := s.verify(b.Account, s.pools[b.Account], m); err != nil {
			return nil, err
		}
	}
	s.statement = &wire.Statement{Time: s.time, Balances: slices.Clone(m.Balances)}
	for _, b := range m.Balances {
		p := s.pools[b.Account]
		p.unassigned, p.refunded = 0, p.refunded+p.unassigned
	}
	slices.SortFunc(s.statement.Balances, func(x, y *wire.Balance) int { return strings.Compare(x.Account, y.Account) })
	s.phase = Closed
	return s.statement, nil
}

// reconcile returns the errors in the balances. All tokens that a zone was
// granted and has not released must be billed, so that exactly the unassigned
// tokens are refundable.
func (s *state) reconcile(balances []*wire.Balance) []string {
	var problems []string
	seen := map[string]bool{}
	for _, b := range balances {
		p := s.pools[b.Account]
		switch {
		case p == nil || seen[b.Account]:
			problems = append(problems, fmt.Sprintf("account %s: unknown or listed twice", b.Account))
		case p.stopped:
			problems = append(problems, fmt.Sprintf("account %s: stopped", b.Account))
		case b.Prepaid != p.prepaid+p.topups:
			problems = append(problems, fmt.Sprintf("account %s: prepaid %d, expected %d", b.Account, b.Prepaid, p.prepaid+p.topups))
		case b.Billed != p.assigned():
			problems = append(problems, fmt.Sprintf("account %s: billed %d, expected %d as held by the zones", b.Account, b.Billed, p.assigned()))
		case b.Refundable != p.unassigned:
			problems = append(problems, fmt.Sprintf("account %s: refundable %d, expected %d", b.Account, b.Refundable, p.unassigned))
		}
		seen[b.Account] = true
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		if !seen[name] {
			problems = append(problems, fmt.Sprintf("account %s: missing", name))
		}
	}
	return problems
}

// differences returns the differences between balances and the statement.
func (s *state) differences(balances []*wire.Balance) []string {
	sorted := slices.SortedFunc(slices.Values(balances), func(x, y *wire.Balance) int { return strings.Compare(x.Account, y.Account) })
	if len(sorted) != len(s.statement.Balances) {
		return []string{fmt.Sprintf("%d accounts, expected %d", len(sorted), len(s.statement.Balances))}
	}
	var problems []string
	for i, b := range sorted {
		if !proto.Equal(b, s.statement.Balances[i]) {
			problems = append(problems, "account "+b.Account)
		}
	}
	return problems
}
