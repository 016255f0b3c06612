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

// maxAccepted is the number of accepted versions that are known again when
// they are resent, about 6 h at 16,000 changes a day.
const maxAccepted = 4096

// maxDifferences bounds the differences that a conflict names, so that its
// message stays readable and below the size limit of a reply.
const maxDifferences = 50

// maxTotal bounds budget and top-ups of one account, in tokens, so that sums
// of amounts don't overflow.
const maxTotal = 1 << 60

// configure accepts a configuration. The same content as an accepted version
// gives the same success.
func (s *state) configure(m *wire.Configure) (proto.Message, error) {
	next, entry, err := s.read(m)
	if entry != nil {
		if known := s.find(entry.Version); known != nil && s.isSame(known, entry) {
			return &wire.ConfigureResult{Version: known.Version, Digest: known.Digest}, nil
		}
		isNext := entry.Version > s.version() && m.Replaces == s.version() && (next == nil || next.Replaces() == m.Replaces)
		if s.current != nil && !isNext {
			return nil, s.conflict(entry.Version, m.Replaces, next)
		}
	}
	if err != nil {
		return nil, err
	}
	if s.current == nil && next.Replaces() != 0 {
		return nil, eris.Wrapf(fault.Conflict, "version %d replaces version %d, but none has been accepted", next.Version(), next.Replaces())
	}
	if s.phase != Open {
		return nil, eris.Wrapf(fault.Closed, "the venture is %s", s.phase)
	}
	if problems := s.problems(next); len(problems) > 0 {
		return nil, eris.Wrapf(fault.Malformed, "configuration: %s", strings.Join(problems, "; "))
	}
	s.accept(next, entry)
	if len(m.Zones) > 0 {
		s.zones = slices.Compact(slices.Sorted(slices.Values(m.Zones)))
	}
	return &wire.ConfigureResult{Version: entry.Version, Digest: entry.Digest}, nil
}

// read returns the configuration that a command submits and its entry for the
// accepted versions. With sections the entry is known even if they don't fit.
// Version and replaces of m are completed from a document.
func (s *state) read(m *wire.Configure) (*configuration.Configuration, *wire.Accepted, error) {
	if len(m.Sections) > 0 {
		entry := &wire.Accepted{Version: m.Version, Content: content(m)}
		if len(m.Document) > 0 || s.current == nil {
			return nil, entry, eris.Wrap(fault.Malformed, "sections need an accepted configuration and no document")
		}
		// A version that is too low loses; its content is still compared.
		next, err := s.current.With(m.Sections, max(m.Version, s.version()+1))
		return next, entry, err
	}
	next, err := configuration.Parse(m.Document)
	if err != nil {
		return nil, nil, err
	}
	if m.Version != 0 && m.Version != next.Version() || m.Replaces != 0 && m.Replaces != next.Replaces() {
		return nil, nil, eris.Wrap(fault.Malformed, "version and replaces differ from those of the document")
	}
	m.Version, m.Replaces = next.Version(), next.Replaces()
	return next, &wire.Accepted{Version: next.Version(), Digest: next.Digest()}, nil
}

// content returns the digest of submitted sections and the version that they
// apply to.
func content(m *wire.Configure) []byte {
	sum := sha256.Sum256(encode(&wire.Configure{Version: m.Version, Replaces: m.Replaces, Sections: m.Sections}))
	return sum[:]
}

// isSame tells whether a submission has the content of an accepted version.
// Sections are compared as submitted, since their base may be gone. A version
// that came as sections has no stored digest, since printing all accounts
// takes longer than the change; as a document it is known while in force.
func (s *state) isSame(known, entry *wire.Accepted) bool {
	if entry.Content != nil {
		return bytes.Equal(known.Content, entry.Content)
	}
	if known.Content != nil && known.Version == s.version() {
		return bytes.Equal(s.current.Digest(), entry.Digest)
	}
	return bytes.Equal(known.Digest, entry.Digest)
}

// find returns the entry of an accepted version, or nil.
func (s *state) find(version uint64) *wire.Accepted {
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

// conflict returns the error for a version that lost against the one in
// force, with the differences from it.
func (s *state) conflict(version, replaces uint64, next *configuration.Configuration) error {
	text := fmt.Sprintf("version %d replaces version %d, but version %d is in force", version, replaces, s.version())
	if version == s.version() {
		text = fmt.Sprintf("version %d was accepted with other content", version)
	}
	if next == nil {
		return eris.Wrap(fault.Conflict, text)
	}
	lines := s.current.Difference(next)
	if extra := len(lines) - maxDifferences; extra > 0 {
		lines = append(lines[:maxDifferences], fmt.Sprintf("and %d more", extra))
	}
	if len(lines) == 0 {
		lines = []string{"none"}
	}
	return eris.Wrapf(fault.Conflict, "%s; differences from version %d: %s", text, s.version(), strings.Join(lines, "; "))
}

// problems returns what speaks against a configuration given the one in force
// and the books.
func (s *state) problems(next *configuration.Configuration) []string {
	var lines []string
	if s.current != nil {
		lines = next.Follow(s.current)
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
				lines = append(lines, fmt.Sprintf("account %s: budget %d, expected %d or more as before it was removed", a.Name, a.Budget, p.prepaid))
			}
			if p.stopped && a.Budget != p.prepaid {
				lines = append(lines, fmt.Sprintf("account %s: stopped, its budget can't change", a.Name))
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
		if total > maxTotal {
			lines = append(lines, fmt.Sprintf("account %s: budget and top-ups exceed %d tokens", a.Name, int64(maxTotal)))
		}
	}
	return lines
}

// accept brings a checked configuration into force.
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
		_ = s.verify(a.Name, p, entry) // stops the account; the other parts are in force
	}
	s.current = next
	s.accepted = append(s.accepted, entry)
	if extra := len(s.accepted) - maxAccepted; extra > 0 {
		s.accepted = slices.Delete(s.accepted, 0, extra)
	}
}

// topup adds to the tokens of an account. A name that was accepted with the
// same account and amount gives the same success.
func (s *state) topup(m *wire.Topup) (proto.Message, error) {
	if known := s.topups[m.Name]; known != nil {
		if known.Account != m.Account || known.Tokens != m.Tokens {
			return nil, eris.Wrapf(fault.Conflict, "top-up %s was accepted with %d tokens for account %s", m.Name, known.Tokens, known.Account)
		}
		return known, nil
	}
	if err := s.open(); err != nil {
		return nil, err
	}
	if !configuration.IsName(m.Name) || m.Tokens <= 0 || m.Tokens > configuration.MaxTokens {
		return nil, eris.Wrapf(fault.Malformed, "top-up %q of %d tokens, expected a name and 1 to %d tokens", m.Name, m.Tokens, int64(configuration.MaxTokens))
	}
	p, err := s.active(m.Account)
	if err != nil {
		return nil, err
	}
	if p.prepaid+p.topups+m.Tokens > maxTotal {
		return nil, eris.Wrapf(fault.Malformed, "account %s: budget and top-ups exceed %d tokens", m.Account, int64(maxTotal))
	}
	known := &wire.Topup{Name: m.Name, Account: m.Account, Tokens: m.Tokens, Operator: m.Operator}
	s.topups[m.Name] = known
	p.topups += m.Tokens
	p.unassigned += m.Tokens
	return known, s.verify(m.Account, p, m)
}
