package configuration

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/printer"
)

// With returns the configuration after the given sections have replaced or
// removed theirs, under a new version. It replaces this version unless one of
// the sections, as Changes makes it, names another. Accounts that are not
// among the sections are shared and not checked again. The error wraps
// fault.Malformed and lists every problem.
func (c *Configuration) With(sections []*wire.Section, version uint64) (*Configuration, error) {
	v := c.venture
	v.Version, v.Replaces = version, c.venture.Version
	edits := map[string]*account.Account{} // nil: removed
	isWhole := false                       // other parts may refer to what has changed
	var problems []problem
	for _, s := range sections {
		problems = append(problems, apply(&v, s)...)
		if s.Kind != accountKind {
			isWhole = isWhole || s.Kind != replacesKind
			continue
		}
		edits[s.Name] = nil
		if len(v.Accounts) == 1 {
			edits[s.Name] = &v.Accounts[0]
		} else {
			isWhole = true
		}
		v.Accounts = nil
	}
	accounts, numbers := c.merge(edits)
	next := index(v, accounts, numbers)
	if isWhole {
		problems = append(problems, check(v, accounts)...)
	} else {
		problems = append(problems, next.checkEdits(edits)...)
	}
	if len(problems) > 0 {
		for i := range problems {
			problems[i].line = 0
		}
		return nil, malformed(problems)
	}
	return next, nil
}

// merge returns the accounts after the edits, and their numbers.
func (c *Configuration) merge(edits map[string]*account.Account) ([]*account.Account, map[string]int32) {
	accounts := slices.Clone(c.accounts)
	isSame := true
	for name, a := range edits {
		i, ok := c.numbers[name]
		switch {
		case ok:
			accounts[i] = a
		case a != nil:
			accounts = append(accounts, a)
		}
		isSame = isSame && ok && a != nil
	}
	if isSame {
		return accounts, c.numbers
	}
	accounts = slices.DeleteFunc(accounts, func(a *account.Account) bool { return a == nil })
	slices.SortFunc(accounts, func(x, y *account.Account) int { return strings.Compare(x.Name, y.Name) })
	return accounts, number(accounts)
}

// checkEdits checks the edited accounts and the head. All other parts must
// have been checked before.
func (c *Configuration) checkEdits(edits map[string]*account.Account) []problem {
	k := &checker{keys: map[string]string{}, topups: map[string]string{}}
	k.models = func(n string) bool { return c.models[n] != nil }
	k.services = func(n string) bool { return c.services[n] != nil }
	k.groups = func(n string) bool { return c.groups[n] != nil }
	k.head(c.venture)
	edited := make([]*account.Account, 0, len(edits))
	for _, name := range slices.Sorted(maps.Keys(edits)) {
		edited = append(edited, edits[name])
	}
	names(k, "accounts", edited, func(a **account.Account) string { return (*a).Name })
	for i, a := range edited {
		k.account(i, a)
	}
	k.rivals(c, edits)
	return k.problems
}

// rivals reports keys and top-ups of the edited accounts that others have.
func (c *checker) rivals(all *Configuration, edits map[string]*account.Account) {
	rival := func(owner, hash string) {
		if other, ok := c.keys[hash]; ok {
			c.report("", "%s: the key is used twice, also by %s", other, owner)
		}
	}
	for _, o := range all.venture.Operators {
		rival("operator "+o.Name, o.Key)
	}
	for _, g := range all.venture.Groups {
		rival("group "+g.Name, g.Key)
	}
	for _, a := range all.accounts {
		if edits[a.Name] != nil {
			continue
		}
		for _, hash := range a.Keys {
			rival("account "+a.Name, hash)
		}
		for _, t := range a.Topups {
			if other, ok := c.topups[t.Name]; ok {
				c.report("", "account %s: top-up %s is defined twice, also in account %s", other, t.Name, a.Name)
			}
		}
	}
}

// Changes returns the sections that lead from an earlier configuration to
// this one, also past versions between them. A section without text is
// removed.
func (c *Configuration) Changes(from *Configuration) []*wire.Section {
	var changes []*wire.Section
	if c.Replaces() != from.Version() {
		changes = append(changes, &wire.Section{Kind: replacesKind, Text: replacesText(c)})
	}
	for _, p := range pairs(from, c) {
		changes = append(changes, &wire.Section{Kind: p.kind, Name: p.name, Text: p.text})
	}
	return changes
}

// MergeChanges returns the changes that lead to this configuration through others in
// one: the last section of each part.
func (c *Configuration) MergeChanges(changes [][]*wire.Section) []*wire.Section {
	joined := []*wire.Section{{Kind: replacesKind, Text: replacesText(c)}}
	numbers := map[string]int{} // by kind and name
	for _, s := range slices.Concat(changes...) {
		id := s.Kind + " " + s.Name
		n, known := numbers[id]
		switch {
		case s.Kind == replacesKind:
		case known:
			joined[n] = s
		default:
			numbers[id] = len(joined)
			joined = append(joined, s)
		}
	}
	return joined
}

// pair is a part that differs between two configurations: its texts, nil
// where it is missing.
type pair struct {
	kind, name string
	old, text  []byte
}

// pairs returns the parts that differ, first those that remain or are new.
func pairs(from, to *Configuration) []pair {
	var changed, removed []pair
	before := map[string]*wire.Section{}
	for _, s := range from.small() {
		before[s.Kind+" "+s.Name] = s
	}
	for _, s := range to.small() {
		id := s.Kind + " " + s.Name
		if old := before[id]; !bytes.Equal(old.GetText(), s.Text) {
			changed = append(changed, pair{s.Kind, s.Name, old.GetText(), s.Text})
		}
		delete(before, id)
	}
	for _, s := range from.small() {
		if before[s.Kind+" "+s.Name] != nil {
			removed = append(removed, pair{s.Kind, s.Name, s.Text, nil})
		}
	}
	for a := range to.Accounts(from) {
		p := pair{kind: accountKind, name: a.Name, text: printer.Account(*a)}
		if old := from.account(a.Name); old != nil {
			p.old = printer.Account(*old)
		}
		if !bytes.Equal(p.old, p.text) {
			changed = append(changed, p)
		}
	}
	for a := range from.Accounts(to) {
		if to.account(a.Name) == nil {
			removed = append(removed, pair{accountKind, a.Name, printer.Account(*a), nil})
		}
	}
	return append(changed, removed...)
}

// small returns the sections of all parts but the accounts.
func (c *Configuration) small() []*wire.Section {
	return (&Configuration{venture: c.venture}).Sections()
}
