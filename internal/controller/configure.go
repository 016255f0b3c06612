package controller

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
)

// maxAcceptedVersions is the number of accepted versions for which a resend is
// recognized. It covers about 6 h at 16,000 changes a day.
const maxAcceptedVersions = 4096

// maxDifferences limits the differences listed in a conflict error, so that it
// stays readable and within the size limit of a reply.
const maxDifferences = 50

// maxAccountTokens limits the budget and top-ups of one account, so that sums
// of amounts don't overflow.
const maxAccountTokens = 1 << 60

// configure accepts a new configuration. Resending the content of an accepted
// version returns the same result.
func (s *state) configure(m *wire.Configure) (proto.Message, error) {
	next, entry, err := s.parseSubmission(m)
	if entry != nil {
		if known := s.findAccepted(entry.Version); known != nil && s.hasSameContent(known, entry) {
			return &wire.ConfigureResult{Version: known.Version, Digest: known.Digest}, nil
		}
		isNext := entry.Version > s.version() && m.Replaces == s.version() && (next == nil || next.Replaces() == m.Replaces)
		if s.current != nil && !isNext {
			return nil, s.conflictError(entry.Version, m.Replaces, next)
		}
	}
	if err != nil {
		return nil, err
	}
	if s.current == nil && next.Replaces() != 0 {
		return nil, eris.Wrapf(fault.Conflict, "version %d replaces version %d, but no version has been accepted", next.Version(), next.Replaces())
	}
	if s.phase != Open {
		return nil, eris.Wrapf(fault.Closed, "the venture is %s", s.phase)
	}
	if problems := s.validate(next); len(problems) > 0 {
		return nil, eris.Wrapf(fault.Malformed, "configuration: %s", strings.Join(problems, "; "))
	}
	s.accept(next, entry)
	if len(m.Zones) > 0 {
		s.zones = slices.Compact(slices.Sorted(slices.Values(m.Zones)))
	}
	return &wire.ConfigureResult{Version: entry.Version, Digest: entry.Digest}, nil
}

// parseSubmission returns the submitted configuration and its entry for the
// list of accepted versions. For sections, it returns the entry even if they
// can't be applied. If m holds a document, its Version and Replaces are set
// from it.
func (s *state) parseSubmission(m *wire.Configure) (*configuration.Configuration, *wire.Accepted, error) {
	if len(m.Sections) > 0 {
		entry := &wire.Accepted{Version: m.Version, Content: contentDigest(m)}
		if len(m.Document) > 0 || s.current == nil {
			return nil, entry, eris.Wrap(fault.Malformed, "sections require an accepted configuration and exclude a document")
		}
		// A version that is too low is a conflict; parse it anyway to report the
		// differences.
		next, err := s.current.With(m.Sections, max(m.Version, s.version()+1))
		return next, entry, err
	}
	next, err := configuration.Parse(m.Document)
	if err != nil {
		return nil, nil, err
	}
	if m.Version != 0 && m.Version != next.Version() || m.Replaces != 0 && m.Replaces != next.Replaces() {
		return nil, nil, eris.Wrap(fault.Malformed, "version and replaces don't match the document")
	}
	m.Version, m.Replaces = next.Version(), next.Replaces()
	return next, &wire.Accepted{Version: next.Version(), Digest: next.Digest()}, nil
}

// contentDigest returns the digest of submitted sections, including their
// version and the version they replace.
func contentDigest(m *wire.Configure) []byte {
	sum := sha256.Sum256(encode(&wire.Configure{Version: m.Version, Replaces: m.Replaces, Sections: m.Sections}))
	return sum[:]
}

// hasSameContent reports whether a submission has the content of an accepted
// version. Sections are compared as submitted, since their base version may no
// longer be available. A version submitted as sections has no stored digest,
// since printing all accounts takes longer than applying the change. Such a
// version can be compared with a document only while it is current.
func (s *state) hasSameContent(known, entry *wire.Accepted) bool {
	if entry.Content != nil {
		return bytes.Equal(known.Content, entry.Content)
	}
	if known.Content != nil && known.Version == s.version() {
		return bytes.Equal(s.current.Digest(), entry.Digest)
	}
	return bytes.Equal(known.Digest, entry.Digest)
}

// findAccepted returns the entry of an accepted version, or nil if there is
// none.
func (s *state) findAccepted(version uint64) *wire.Accepted {
	i, ok := slices.BinarySearchFunc(s.accepted, version, func(a *wire.Accepted, v uint64) int {
		switch {
		case a.Version < v:
			return -1
		case a.Version > v:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return s.accepted[i]
}

// conflictError returns the error for a version that conflicts with the current
// one, including the differences.
func (s *state) conflictError(version, replaces uint64, next *configuration.Configuration) error {
	text := fmt.Sprintf("version %d replaces version %d, but the current version is %d", version, replaces, s.version())
	if version == s.version() {
		text = fmt.Sprintf("version %d was accepted with different content", version)
	}
	if next == nil {
		return eris.Wrap(fault.Conflict, text)
	}
	lines := s.current.Diff(next)
	if extra := len(lines) - maxDifferences; extra > 0 {
		lines = append(lines[:maxDifferences], fmt.Sprintf("and %d more", extra))
	}
	if len(lines) == 0 {
		lines = []string{"none"}
	}
	return eris.Wrapf(fault.Conflict, "%s; differences from version %d: %s", text, s.version(), strings.Join(lines, "; "))
}

// validate returns the reasons why next can't follow the current configuration
// and pools.
func (s *state) validate(next *configuration.Configuration) []string {
	var lines []string
	if s.current != nil {
		lines = next.CheckTransition(s.current)
	}
	for a := range next.Accounts(s.current) {
		var before account.Account
		if s.current != nil {
			before, _ = s.current.Account(a.Name)
		}
		total := a.Budget
		p := s.pools[a.Name]
		if p != nil {
			total += p.topups
			if before.Name == "" && a.Budget < p.prepaid {
				lines = append(lines, fmt.Sprintf("account %s: budget %d, expected %d or more, its budget before removal", a.Name, a.Budget, p.prepaid))
			}
			if p.stopped && a.Budget != p.prepaid {
				lines = append(lines, fmt.Sprintf("account %s: stopped; its budget can't change", a.Name))
			}
		}
		for _, t := range a.Topups {
			known := s.topups[t.Name]
			if known == nil {
				total += t.Tokens
			} else if known.Account != a.Name || known.Tokens != t.Tokens && !slices.ContainsFunc(before.Topups, func(b account.Topup) bool { return b.Name == t.Name }) {
				lines = append(lines, fmt.Sprintf("account %s: top-up %s was accepted with %d tokens for account %s", a.Name, t.Name, known.Tokens, known.Account))
			}
		}
		if total > maxAccountTokens {
			lines = append(lines, fmt.Sprintf("account %s: budget and top-ups exceed %d tokens", a.Name, int64(maxAccountTokens)))
		}
	}
	return lines
}

// accept makes a validated configuration current.
func (s *state) accept(next *configuration.Configuration, entry *wire.Accepted) {
	for a := range next.Accounts(s.current) {
		p := s.pools[a.Name]
		if p == nil {
			p = &pool{}
			s.pools[a.Name] = p
		}
		p.unassigned += a.Budget - p.prepaid
		p.prepaid = a.Budget
		for _, t := range a.Topups {
			if s.topups[t.Name] == nil {
				s.topups[t.Name] = &wire.Topup{Name: t.Name, Account: a.Name, Tokens: t.Tokens}
				p.topups += t.Tokens
				p.unassigned += t.Tokens
			}
		}
		_ = s.verify(a.Name, p, entry) // a violation stops only this account
	}
	s.current = next
	s.accepted = append(s.accepted, entry)
	if extra := len(s.accepted) - maxAcceptedVersions; extra > 0 {
		s.accepted = slices.Delete(s.accepted, 0, extra)
	}
}

// topup adds tokens to an account. Resending a top-up with the same name,
// account and amount returns the same result.
func (s *state) topup(m *wire.Topup) (proto.Message, error) {
	if known := s.topups[m.Name]; known != nil {
		if known.Account != m.Account || known.Tokens != m.Tokens {
			return nil, eris.Wrapf(fault.Conflict, "top-up %s was accepted with %d tokens for account %s", m.Name, known.Tokens, known.Account)
		}
		return known, nil
	}
	if err := s.requireOpen(); err != nil {
		return nil, err
	}
	if !configuration.IsValidName(m.Name) || m.Tokens <= 0 || m.Tokens > configuration.MaxTokens {
		return nil, eris.Wrapf(fault.Malformed, "top-up %q of %d tokens, expected a name and 1 to %d tokens", m.Name, m.Tokens, int64(configuration.MaxTokens))
	}
	p, err := s.activePool(m.Account)
	if err != nil {
		return nil, err
	}
	if p.prepaid+p.topups+m.Tokens > maxAccountTokens {
		return nil, eris.Wrapf(fault.Malformed, "account %s: budget and top-ups exceed %d tokens", m.Account, int64(maxAccountTokens))
	}
	known := &wire.Topup{Name: m.Name, Account: m.Account, Tokens: m.Tokens, Operator: m.Operator}
	s.topups[m.Name] = known
	p.topups += m.Tokens
	p.unassigned += m.Tokens
	return known, s.verify(m.Account, p, m)
}
