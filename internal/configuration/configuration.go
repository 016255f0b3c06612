package configuration

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"iter"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/service"
	"github.com/papayapond/papayapond/pkg/venture"
)

// Configuration is a valid version of the configuration of a venture.
type Configuration struct {
	venture       venture.Venture    // without the accounts
	accounts      []*account.Account // sorted by name; versions share unchanged accounts
	accountIndex  map[string]int32   // index in accounts by name; shared while no name changes
	models        map[string]*model.Model
	services      map[string]*service.Service
	groups        map[string]*group.Group
	prefixLengths []int // distinct lengths of group names, ascending
	digest        func() []byte
}

// Parse parses and checks a configuration. The error wraps fault.Malformed and
// lists every problem with its line.
func Parse(text []byte) (*Configuration, error) {
	d := newDecoder(text)
	v := venture.Venture{Reserve: venture.DefaultReserve}
	d.decode(&v)
	if d.hasSyntaxError {
		return nil, malformed(d.problems)
	}
	accounts := make([]*account.Account, len(v.Accounts))
	for i := range v.Accounts {
		accounts[i] = &v.Accounts[i]
	}
	problems := d.problems
	for _, p := range check(v, accounts) {
		if !d.isReported(p.path) {
			problems = append(problems, problem{line: d.lineOf(p.path), text: p.text})
		}
	}
	if len(problems) > 0 {
		return nil, malformed(problems)
	}
	normalise(&v) // sorts the accounts in place, so the pointers are in order as well
	return newConfiguration(v, accounts, indexAccounts(accounts)), nil
}

// Text returns the printed form. It prints it again on each call.
func (c *Configuration) Text() []byte {
	var b bytes.Buffer
	_ = c.Print(&b) // a bytes.Buffer never fails
	return b.Bytes()
}

// Digest returns the SHA-256 of the printed form. The caller must not modify it.
func (c *Configuration) Digest() []byte { return c.digest() }

// Version returns the version number.
func (c *Configuration) Version() uint64 { return c.venture.Version }

// Replaces returns the version that this one replaces, or 0 for the first.
func (c *Configuration) Replaces() uint64 { return c.venture.Replaces }

// Venture returns all parts, sorted by name. It copies the list of accounts; the
// caller must not modify the other slices.
func (c *Configuration) Venture() venture.Venture {
	v := c.venture
	if len(c.accounts) > 0 {
		v.Accounts = make([]account.Account, len(c.accounts))
	}
	for i, a := range c.accounts {
		v.Accounts[i] = *a
	}
	return v
}

// Accounts returns an iterator over the accounts in order of their names. It
// skips those that With shares with previous, if that isn't nil. The caller
// must not modify the accounts.
func (c *Configuration) Accounts(previous *Configuration) iter.Seq[*account.Account] {
	return func(yield func(*account.Account) bool) {
		next := 0
		for _, a := range c.accounts {
			if previous != nil {
				for next < len(previous.accounts) && previous.accounts[next].Name < a.Name {
					next++
				}
				if next < len(previous.accounts) && previous.accounts[next] == a {
					continue
				}
			}
			if !yield(a) {
				return
			}
		}
	}
}

// Account returns the account with the given name.
func (c *Configuration) Account(name string) (account.Account, bool) {
	if a := c.account(name); a != nil {
		return *a, true
	}
	return account.Account{}, false
}

func (c *Configuration) account(name string) *account.Account {
	if i, ok := c.accountIndex[name]; ok {
		return c.accounts[i]
	}
	return nil
}

// Model returns the model with the given name.
func (c *Configuration) Model(name string) (model.Model, bool) {
	return find(c.models, name)
}

// Service returns the service with the given name.
func (c *Configuration) Service(name string) (service.Service, bool) {
	return find(c.services, name)
}

// Group returns the group that the target belongs to.
func (c *Configuration) Group(target string) (group.Group, bool) {
	for _, n := range c.prefixLengths {
		if n > len(target) {
			break
		}
		if g, ok := c.groups[target[:n]]; ok {
			return *g, true
		}
	}
	return group.Group{}, false
}

func find[T any](parts map[string]*T, name string) (T, bool) {
	if p, ok := parts[name]; ok {
		return *p, true
	}
	var zero T
	return zero, false
}

// newConfiguration returns the configuration of a valid venture, whose accounts
// are passed separately.
func newConfiguration(v venture.Venture, accounts []*account.Account, accountIndex map[string]int32) *Configuration {
	v.Accounts = nil
	c := &Configuration{venture: v, accounts: accounts, accountIndex: accountIndex}
	c.models = byName(v.Models, func(m *model.Model) string { return m.Name })
	c.services = byName(v.Services, func(s *service.Service) string { return s.Name })
	c.groups = byName(v.Groups, func(g *group.Group) string { return g.Name })
	for _, g := range v.Groups {
		c.prefixLengths = append(c.prefixLengths, len(g.Name))
	}
	slices.Sort(c.prefixLengths)
	c.prefixLengths = slices.Compact(c.prefixLengths)
	c.digest = sync.OnceValue(func() []byte {
		h := sha256.New()
		_ = c.Print(h) // a hash.Hash never fails
		return h.Sum(nil)
	})
	return c
}

// Print writes the printed form to w and returns the error of w. It prints one
// account at a time, because the whole text takes as much memory as the
// configuration itself.
func (c *Configuration) Print(w io.Writer) error {
	v := c.venture
	v.Objectives = nil
	if _, err := w.Write(printer.Text(v)); err != nil {
		return err
	}
	for _, a := range c.accounts {
		if _, err := w.Write(append([]byte{'\n'}, printer.Account(*a)...)); err != nil {
			return err
		}
	}
	for _, o := range c.venture.Objectives {
		if _, err := w.Write(append([]byte{'\n'}, printer.Objective(o)...)); err != nil {
			return err
		}
	}
	return nil
}

func indexAccounts(accounts []*account.Account) map[string]int32 {
	accountIndex := make(map[string]int32, len(accounts))
	for i, a := range accounts {
		accountIndex[a.Name] = int32(i)
	}
	return accountIndex
}

func byName[T any](parts []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(parts))
	for i := range parts {
		m[name(&parts[i])] = &parts[i]
	}
	return m
}

// normalise sorts unordered lists and sets defaults, so that equivalent
// configurations have equal values.
func normalise(v *venture.Venture) {
	v.Start, v.End = v.Start.UTC(), v.End.UTC()
	sortByName(v.Operators, func(o *venture.Operator) string { return o.Name })
	sortByName(v.Models, func(m *model.Model) string { return m.Name })
	sortByName(v.Services, func(s *service.Service) string { return s.Name })
	sortByName(v.Groups, func(g *group.Group) string { return g.Name })
	sortByName(v.Accounts, func(a *account.Account) string { return a.Name })
	sortByName(v.Objectives, func(o *venture.Objective) string { return o.Name })
	for i := range v.Services {
		sortByName(v.Services[i].Calls, func(c *service.Call) string { return c.Path + " " + c.Method })
	}
	for i := range v.Accounts {
		a := &v.Accounts[i]
		if a.Weight == 0 {
			a.Weight = account.DefaultWeight
		}
		for _, list := range [][]string{a.Keys, a.Models, a.Services, a.Groups} {
			slices.Sort(list)
		}
		sortByName(a.Topups, func(t *account.Topup) string { return t.Name })
	}
}

func sortByName[T any](parts []T, name func(*T) string) {
	slices.SortStableFunc(parts, func(x, y T) int { return strings.Compare(name(&x), name(&y)) })
}

// problem is an error in a configuration. The line is 0 if unknown.
type problem struct {
	line int
	path string
	text string
}

func malformed(problems []problem) error {
	slices.SortStableFunc(problems, func(x, y problem) int { return x.line - y.line })
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.text
		if p.line > 0 {
			lines[i] = fmt.Sprintf("line %d: %s", p.line, p.text)
		}
	}
	return eris.Wrapf(fault.Malformed, "configuration: %s", strings.Join(lines, "; "))
}
