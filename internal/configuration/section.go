package configuration

import (
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/service"
	"github.com/papayapond/papayapond/pkg/venture"
)

// Kinds of sections. Sections of headKind and replacesKind have no name.
const (
	headKind      = "venture"
	replacesKind  = "replaces"
	operatorKind  = "operator"
	modelKind     = "model"
	serviceKind   = "service"
	groupKind     = "group"
	accountKind   = "account"
	objectiveKind = "objective"
)

// Sections returns sections for all parts, without the version.
func (c *Configuration) Sections() []*wire.Section { return slices.Collect(c.sections()) }

// sections returns an iterator over the sections, which it prints on demand.
func (c *Configuration) sections() iter.Seq[*wire.Section] {
	return func(yield func(*wire.Section) bool) {
		v := c.venture
		_ = yield(&wire.Section{Kind: headKind, Text: printer.Head(v)}) &&
			yieldSections(yield, operatorKind, v.Operators, func(o *venture.Operator) string { return o.Name }, printer.Operator) &&
			yieldSections(yield, modelKind, v.Models, func(m *model.Model) string { return m.Name }, printer.Model) &&
			yieldSections(yield, serviceKind, v.Services, func(s *service.Service) string { return s.Name }, printer.Service) &&
			yieldSections(yield, groupKind, v.Groups, func(g *group.Group) string { return g.Name }, printer.Group) &&
			yieldSections(yield, accountKind, c.accounts, func(a **account.Account) string { return (*a).Name }, func(a *account.Account) []byte { return printer.Account(*a) }) &&
			yieldSections(yield, objectiveKind, v.Objectives, func(o *venture.Objective) string { return o.Name }, printer.Objective)
	}
}

// applySection applies a section to v and returns the problems of the section.
// An account replaces all accounts in v.
func applySection(v *venture.Venture, s *wire.Section) []problem {
	part := venture.Venture{Reserve: v.Reserve}
	d := newDecoder(s.Text)
	d.decode(&part)
	if len(d.problems) > 0 {
		for i, p := range d.problems {
			d.problems[i] = problem{text: fmt.Sprintf("%s %s, line %d: %s", s.Kind, s.Name, p.line, p.text)}
		}
		return d.problems
	}
	normalise(&part)
	if !holdsOnePart(&part, s.Kind) {
		return []problem{{text: fmt.Sprintf("%s %q: the section contains more than this part", s.Kind, s.Name)}}
	}
	var ok bool
	switch s.Kind {
	case headKind:
		ok = len(s.Text) > 0
		v.Name, v.Start, v.End, v.Reserve = part.Name, part.Start, part.End, part.Reserve
	case replacesKind:
		ok = len(s.Text) > 0
		v.Replaces = part.Replaces
	case operatorKind:
		ok = replacePart(&v.Operators, part.Operators, s, func(o *venture.Operator) string { return o.Name })
	case modelKind:
		ok = replacePart(&v.Models, part.Models, s, func(m *model.Model) string { return m.Name })
	case serviceKind:
		ok = replacePart(&v.Services, part.Services, s, func(s *service.Service) string { return s.Name })
	case groupKind:
		ok = replacePart(&v.Groups, part.Groups, s, func(g *group.Group) string { return g.Name })
	case accountKind:
		v.Accounts = part.Accounts
		ok = len(part.Accounts) == min(len(s.Text), 1) && (len(s.Text) == 0 || part.Accounts[0].Name == s.Name)
	case objectiveKind:
		ok = replacePart(&v.Objectives, part.Objectives, s, func(o *venture.Objective) string { return o.Name })
	default:
		return []problem{{text: fmt.Sprintf("%q: unknown kind of section", s.Kind)}}
	}
	if !ok {
		return []problem{{text: fmt.Sprintf("%s %q: the section must contain exactly this part", s.Kind, s.Name)}}
	}
	return nil
}

// holdsOnePart reports whether v contains at most one part, and none that a
// section of this kind may not contain.
func holdsOnePart(v *venture.Venture, kind string) bool {
	n := len(v.Operators) + len(v.Models) + len(v.Services) + len(v.Groups) + len(v.Accounts) + len(v.Objectives)
	if kind == headKind || kind == replacesKind {
		n++
	}
	isHead := v.Name != "" || !v.Start.IsZero() || !v.End.IsZero()
	return n <= 1 && v.Version == 0 && (kind == replacesKind || v.Replaces == 0) && (kind == headKind || !isHead)
}

// replacePart inserts, replaces or removes the part of a section in a copy of
// the sorted parts. It returns false if the section doesn't contain exactly one
// part with its name.
func replacePart[T any](parts *[]T, given []T, s *wire.Section, name func(*T) string) bool {
	i, found := slices.BinarySearchFunc(*parts, s.Name, func(p T, n string) int {
		return strings.Compare(name(&p), n)
	})
	switch {
	case len(s.Text) == 0:
		if found {
			*parts = slices.Concat((*parts)[:i], (*parts)[i+1:])
		}
		return true
	case len(given) != 1 || name(&given[0]) != s.Name:
		return false
	case found:
		*parts = slices.Clone(*parts)
		(*parts)[i] = given[0]
	default:
		*parts = slices.Concat((*parts)[:i], given, (*parts)[i:])
	}
	return true
}

// yieldSections yields the sections of one kind and reports whether to continue.
func yieldSections[T any](yield func(*wire.Section) bool, kind string, parts []T, name func(*T) string, lines func(T) []byte) bool {
	for i := range parts {
		if !yield(&wire.Section{Kind: kind, Name: name(&parts[i]), Text: lines(parts[i])}) {
			return false
		}
	}
	return true
}
