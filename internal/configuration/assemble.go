package configuration

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"hash"
	"iter"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/venture"
)

// endKind ends the parts of a configuration. Its text is the SHA-256 of the
// version and of the texts of the sections before it.
const endKind = "end"

// Chunks returns all sections in lists whose texts have about size bytes, and
// whether a list is the last one. They are printed as they are asked for.
func (c *Configuration) Chunks(size int) iter.Seq2[[]*wire.Section, bool] {
	return func(yield func([]*wire.Section, bool) bool) {
		replaces := &wire.Section{Kind: replacesKind, Text: replacesText(c)}
		sum := begin(c.Version())
		part, length := []*wire.Section{replaces}, len(replaces.Text)
		sum.Write(replaces.Text)
		for s := range c.sections() {
			if length >= size {
				if !yield(part, false) {
					return
				}
				part, length = nil, 0
			}
			part, length = append(part, s), length+len(s.Text)
			sum.Write(s.Text)
		}
		yield(append(part, &wire.Section{Kind: endKind, Text: sum.Sum(nil)}), true)
	}
}

// Assemble returns a function that takes the parts of a configuration in
// order and returns the configuration when it has the last one, before that
// nil. Its errors wrap fault.Malformed.
func Assemble(version uint64) func(part []*wire.Section) (*Configuration, error) {
	a := &assembly{venture: venture.Venture{Version: version, Reserve: venture.DefaultReserve}, sum: begin(version)}
	return a.add
}

// assembly is a configuration of which not all parts are there. The accounts
// are decoded as they arrive, since the whole text takes as much memory as
// they do.
type assembly struct {
	venture  venture.Venture // without the accounts
	accounts []*account.Account
	sum      hash.Hash
}

func (a *assembly) add(part []*wire.Section) (*Configuration, error) {
	for _, s := range part {
		if s.Kind == endKind {
			return a.finish(s.Text)
		}
		if problems := apply(&a.venture, s); len(problems) > 0 {
			return nil, malformed(problems)
		}
		a.sum.Write(s.Text)
		if s.Kind != accountKind {
			continue
		}
		if n := len(a.accounts); len(a.venture.Accounts) == 0 || n > 0 && a.accounts[n-1].Name >= s.Name {
			return nil, eris.Wrapf(fault.Malformed, "account %s: empty or out of order", s.Name)
		}
		a.accounts = append(a.accounts, &a.venture.Accounts[0])
		a.venture.Accounts = nil
	}
	return nil, nil
}

func (a *assembly) finish(sum []byte) (*Configuration, error) {
	if !bytes.Equal(sum, a.sum.Sum(nil)) {
		return nil, eris.Wrapf(fault.Malformed, "configuration %d: parts are missing", a.venture.Version)
	}
	if problems := check(a.venture, a.accounts); len(problems) > 0 {
		return nil, malformed(problems)
	}
	return index(a.venture, a.accounts, number(a.accounts)), nil
}

// begin returns the sum of a version without sections.
func begin(version uint64) hash.Hash {
	sum := sha256.New()
	sum.Write(fmt.Appendf(nil, "version = %d\n", version))
	return sum
}

func replacesText(c *Configuration) []byte {
	return fmt.Appendf(nil, "replaces = %d\n", c.Replaces())
}
