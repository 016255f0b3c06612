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

// endKind is the kind of the last section of the last chunk. Its text is the
// SHA-256 of the version and the texts of all previous sections.
const endKind = "end"

// Chunks returns an iterator over all sections in chunks of about size bytes of
// text, each with whether it is the last one. Sections are printed on demand.
func (c *Configuration) Chunks(size int) iter.Seq2[[]*wire.Section, bool] {
	return func(yield func([]*wire.Section, bool) bool) {
		replaces := &wire.Section{Kind: replacesKind, Text: replacesText(c)}
		sum := newSum(c.Version())
		chunk, length := []*wire.Section{replaces}, len(replaces.Text)
		sum.Write(replaces.Text)
		for s := range c.sections() {
			if length >= size {
				if !yield(chunk, false) {
					return
				}
				chunk, length = nil, 0
			}
			chunk, length = append(chunk, s), length+len(s.Text)
			sum.Write(s.Text)
		}
		yield(append(chunk, &wire.Section{Kind: endKind, Text: sum.Sum(nil)}), true)
	}
}

// Assemble returns a function that takes the chunks of a configuration in
// order. It returns the configuration after the last chunk and nil before that.
// Its errors wrap fault.Malformed.
func Assemble(version uint64) func(chunk []*wire.Section) (*Configuration, error) {
	a := &assembler{venture: venture.Venture{Version: version, Reserve: venture.DefaultReserve}, sum: newSum(version)}
	return a.add
}

// assembler builds a configuration from its chunks. It decodes accounts as they
// arrive, because buffering the whole text would double the memory.
type assembler struct {
	venture  venture.Venture // without the accounts
	accounts []*account.Account
	sum      hash.Hash
}

func (a *assembler) add(chunk []*wire.Section) (*Configuration, error) {
	for _, s := range chunk {
		if s.Kind == endKind {
			return a.finish(s.Text)
		}
		if problems := applySection(&a.venture, s); len(problems) > 0 {
			return nil, malformed(problems)
		}
		a.sum.Write(s.Text)
		if s.Kind != accountKind {
			continue
		}
		if n := len(a.accounts); len(a.venture.Accounts) == 0 || n > 0 && a.accounts[n-1].Name >= s.Name {
			return nil, eris.Wrapf(fault.Malformed, "account %s: section is empty or out of order", s.Name)
		}
		a.accounts = append(a.accounts, &a.venture.Accounts[0])
		a.venture.Accounts = nil
	}
	return nil, nil
}

func (a *assembler) finish(sum []byte) (*Configuration, error) {
	if !bytes.Equal(sum, a.sum.Sum(nil)) {
		return nil, eris.Wrapf(fault.Malformed, "configuration %d: checksum mismatch, sections are missing or damaged", a.venture.Version)
	}
	if problems := check(a.venture, a.accounts); len(problems) > 0 {
		return nil, malformed(problems)
	}
	return newConfiguration(a.venture, a.accounts, indexAccounts(a.accounts)), nil
}

// newSum returns the hash of a version, before any sections.
func newSum(version uint64) hash.Hash {
	sum := sha256.New()
	sum.Write(fmt.Appendf(nil, "version = %d\n", version))
	return sum
}

func replacesText(c *Configuration) []byte {
	return fmt.Appendf(nil, "replaces = %d\n", c.Replaces())
}
