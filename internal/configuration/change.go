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

// With returns a new version of the configuration in which the sections replace
// or remove existing parts. It replaces this version unless one of the
// sections, as returned by Changes, names another version. Accounts without a
// section are shared and not checked again. The error wraps fault.Malformed and
// lists every problem.
func (c *Configuration) With(sections []*wire.Section, version uint64) (*Configuration, error) {
	v := c.venture
	v.Version, v.Replaces = version, c.venture.Version
	edits := map[string]*account.Account{} // nil if removed
	needsFullCheck := false                // other parts may refer to the changed ones
	var problems []problem
	for _, s := range sections {
		problems = append(problems, applySection(&v, s)...)
		if s.Kind != accountKind {
			needsFullCheck = needsFullCheck || s.Kind != replacesKind
			continue
		}
		edits[s.Name] = nil
		if len(v.Accounts) == 1 {
			edits[s.Name] = &v.Accounts[0]
		} else {
			needsFullCheck = true
		}
		v.Accounts = nil
	}
	accounts, accountIndex := c.merge(edits)
	next := newConfiguration(v, accounts, accountIndex)
	if needsFullCheck {
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

// merge returns the accounts after the edits, and their index by name.
func (c *Configuration) merge(edits map[string]*account.Account) ([]*account.Account, map[string]int32) {
	accounts := slices.Clone(c.accounts)
	sameNames := true
	for name, a := range edits {
		i, ok := c.accountIndex[name]
		switch {
		case ok:
			accounts[i] = a
		case a != nil:
			accounts = append(accounts, a)
		}
		sameNames = sameNames && ok && a != nil
	}
	if sameNames {
		return accounts, c.accountIndex
	}
	accounts = slices.DeleteFunc(accounts, func(a *account.Account) bool { return a == nil })
	slices.SortFunc(accounts, func(x, y *account.Account) int { return strings.Compare(x.Name, y.Name) })
	return accounts, indexAccounts(accounts)
}

// checkEdits checks the edited accounts and the head. All other parts must
// already be valid.
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
	checkNames(k, "accounts", edited, func(a **account.Account) string { return (*a).Name })
	for i, a := range edited {
		k.account(i, a)
	}
	k.checkDuplicates(c, edits)
	return k.problems
}

// checkDuplicates reports keys and top-ups of edited accounts that also exist
// elsewhere.
func (c *checker) checkDuplicates(all *Configuration, edits map[string]*account.Account) {
	reportKey := func(owner, hash string) {
		if other, ok := c.keys[hash]; ok {
			c.report("", "%s: the key is used twice, also by %s", other, owner)
		}
	}
	for _, o := range all.venture.Operators {
		reportKey("operator "+o.Name, o.Key)
	}
	for _, g := range all.venture.Groups {
		reportKey("group "+g.Name, g.Key)
	}
	for _, a := range all.accounts {
		if edits[a.Name] != nil {
			continue
		}
		for _, hash := range a.Keys {
			reportKey("account "+a.Name, hash)
		}
		for _, t := range a.Topups {
			if other, ok := c.topups[t.Name]; ok {
				c.report("", "account %s: top-up %s is defined twice, also in account %s", other, t.Name, a.Name)
			}
		}
	}
}

// Changes returns the sections that turn an earlier configuration, not
// necessarily the previous one, into this one. A section without text removes
// its part.
func (c *Configuration) Changes(from *Configuration) []*wire.Section {
	var changes []*wire.Section
	if c.Replaces() != from.Version() {
		changes = append(changes, &wire.Section{Kind: replacesKind, Text: replacesText(c)})
	}
	for _, p := range diffParts(from, c) {
		changes = append(changes, &wire.Section{Kind: p.kind, Name: p.name, Text: p.text})
	}
	return changes
}

// MergeChanges merges consecutive changes that lead to this configuration into
// one, which has the last section of each part.
func (c *Configuration) MergeChanges(changes [][]*wire.Section) []*wire.Section {
	merged := []*wire.Section{{Kind: replacesKind, Text: replacesText(c)}}
	positions := map[string]int{} // by kind and name, in merged
	for _, s := range slices.Concat(changes...) {
		id := s.Kind + " " + s.Name
		n, known := positions[id]
		switch {
		case s.Kind == replacesKind:
		case known:
			merged[n] = s
		default:
			positions[id] = len(merged)
			merged = append(merged, s)
		}
	}
	return merged
}

// partDiff is a part that differs between two configurations. A text is nil if
// the part is missing there.
type partDiff struct {
	kind, name string
	old, text  []byte
}

// diffParts returns the parts that differ: changed and added ones, then removed
// ones.
func diffParts(from, to *Configuration) []partDiff {
	var changed, removed []partDiff
	before := map[string]*wire.Section{}
	for _, s := range from.sectionsWithoutAccounts() {
		before[s.Kind+" "+s.Name] = s
	}
	for _, s := range to.sectionsWithoutAccounts() {
		id := s.Kind + " " + s.Name
		if old := before[id]; !bytes.Equal(old.GetText(), s.Text) {
			changed = append(changed, partDiff{s.Kind, s.Name, old.GetText(), s.Text})
		}
		delete(before, id)
	}
	for _, s := range from.sectionsWithoutAccounts() {
		if before[s.Kind+" "+s.Name] != nil {
			removed = append(removed, partDiff{s.Kind, s.Name, s.Text, nil})
		}
	}
	for a := range to.Accounts(from) {
		p := partDiff{kind: accountKind, name: a.Name, text: printer.Account(*a)}
		if old := from.account(a.Name); old != nil {
			p.old = printer.Account(*old)
		}
		if !bytes.Equal(p.old, p.text) {
			changed = append(changed, p)
		}
	}
	for a := range from.Accounts(to) {
		if to.account(a.Name) == nil {
			removed = append(removed, partDiff{accountKind, a.Name, printer.Account(*a), nil})
		}
	}
	return append(changed, removed...)
}

// sectionsWithoutAccounts returns the sections of all parts except accounts.
func (c *Configuration) sectionsWithoutAccounts() []*wire.Section {
	return (&Configuration{venture: c.venture}).Sections()
}
