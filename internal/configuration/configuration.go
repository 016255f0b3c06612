package configuration

import (
	"crypto/sha256"
	"fmt"
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

// Configuration is one checked version of the configuration of a venture.
type Configuration struct {
	venture  venture.Venture
	accounts map[string]*account.Account
	models   map[string]*model.Model
	services map[string]*service.Service
	groups   map[string]*group.Group
	lengths  []int // distinct lengths of the names of groups, ascending
	print    func() ([]byte, []byte)
}

// Parse reads and checks a configuration. The error wraps fault.Malformed and
// lists every problem with its line.
func Parse(text []byte) (*Configuration, error) {
	d := newDecoder(text)
	v := venture.Venture{Reserve: venture.DefaultReserve}
	d.decode(&v)
	if d.broken {
		return nil, malformed(d.problems)
	}
	problems := d.problems
	for _, p := range check(v) {
		if !d.isSuspect(p.path) {
			problems = append(problems, problem{line: d.line(p.path), text: p.text})
		}
	}
	if len(problems) > 0 {
		return nil, malformed(problems)
	}
	normalise(&v)
	return index(v), nil
}

// Text returns the printed form. It must not be changed.
func (c *Configuration) Text() []byte {
	text, _ := c.print()
	return text
}

// Digest returns the SHA-256 of the printed form. It must not be changed.
func (c *Configuration) Digest() []byte {
	_, digest := c.print()
	return digest
}

// Version returns the number of this version.
func (c *Configuration) Version() uint64 { return c.venture.Version }

// Replaces returns the version that this one replaces, 0 for the first.
func (c *Configuration) Replaces() uint64 { return c.venture.Replaces }

// Venture returns all parts, sorted by name. Its slices must not be changed.
func (c *Configuration) Venture() venture.Venture { return c.venture }

// Account returns the account of that name.
func (c *Configuration) Account(name string) (account.Account, bool) {
	return find(c.accounts, name)
}

// Model returns the model of that name.
func (c *Configuration) Model(name string) (model.Model, bool) {
	return find(c.models, name)
}

// Service returns the service of that name.
func (c *Configuration) Service(name string) (service.Service, bool) {
	return find(c.services, name)
}

// Group returns the group that a target of that name belongs to.
func (c *Configuration) Group(target string) (group.Group, bool) {
	for _, n := range c.lengths {
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

// index returns the configuration of a venture that has no problems.
func index(v venture.Venture) *Configuration {
	c := &Configuration{venture: v}
	c.accounts = byName(v.Accounts, func(a *account.Account) string { return a.Name })
	c.models = byName(v.Models, func(m *model.Model) string { return m.Name })
	c.services = byName(v.Services, func(s *service.Service) string { return s.Name })
	c.groups = byName(v.Groups, func(g *group.Group) string { return g.Name })
	for _, g := range v.Groups {
		c.lengths = append(c.lengths, len(g.Name))
	}
	slices.Sort(c.lengths)
	c.lengths = slices.Compact(c.lengths)
	c.print = sync.OnceValues(func() ([]byte, []byte) {
		text := printer.Text(v)
		sum := sha256.Sum256(text)
		return text, sum[:]
	})
	return c
}

func byName[T any](parts []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(parts))
	for i := range parts {
		m[name(&parts[i])] = &parts[i]
	}
	return m
}

// normalise sorts what has no order and fills in defaults, so that equal
// configurations are equal values.
func normalise(v *venture.Venture) {
	v.Start, v.End = v.Start.UTC(), v.End.UTC()
	sortBy(v.Operators, func(o *venture.Operator) string { return o.Name })
	sortBy(v.Models, func(m *model.Model) string { return m.Name })
	sortBy(v.Services, func(s *service.Service) string { return s.Name })
	sortBy(v.Groups, func(g *group.Group) string { return g.Name })
	sortBy(v.Accounts, func(a *account.Account) string { return a.Name })
	sortBy(v.Objectives, func(o *venture.Objective) string { return o.Name })
	for i := range v.Services {
		sortBy(v.Services[i].Calls, func(c *service.Call) string { return c.Path + " " + c.Method })
	}
	for i := range v.Accounts {
		a := &v.Accounts[i]
		if a.Weight == 0 {
			a.Weight = account.DefaultWeight
		}
		for _, list := range [][]string{a.Keys, a.Models, a.Services, a.Groups} {
			slices.Sort(list)
		}
		sortBy(a.Topups, func(t *account.Topup) string { return t.Name })
	}
}

func sortBy[T any](parts []T, name func(*T) string) {
	slices.SortStableFunc(parts, func(x, y T) int { return strings.Compare(name(&x), name(&y)) })
}

// problem is one fault of a configuration. Line is 0 if it has none.
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
