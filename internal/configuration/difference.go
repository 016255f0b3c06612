package configuration

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/papayapond/papayapond/pkg/account"
)

// Diff returns the differences from c to other, one per line. It doesn't show
// key hashes.
func (c *Configuration) Diff(other *Configuration) []string {
	var lines []string
	for _, p := range diffParts(c, other) {
		id := strings.TrimSpace(p.kind + " " + p.name)
		switch {
		case p.text == nil:
			lines = append(lines, id+": removed")
		case p.old == nil:
			lines = append(lines, id+": added")
		default:
			for _, d := range diffTexts(p.old, p.text) {
				lines = append(lines, id+": "+d)
			}
		}
	}
	return lines
}

// diffTexts returns the differences between two texts of a part.
func diffTexts(old, text []byte) []string {
	oldKeys, oldValues := flatten(old)
	keys, values := flatten(text)
	var lines []string
	for _, k := range keys {
		was, ok := oldValues[k]
		switch {
		case ok && was == values[k]:
		case k == "key" || k == "keys":
			lines = append(lines, k+": changed")
		case !ok:
			lines = append(lines, fmt.Sprintf("%s: added %s", k, values[k]))
		default:
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", k, was, values[k]))
		}
	}
	for _, k := range oldKeys {
		if _, ok := values[k]; !ok {
			lines = append(lines, fmt.Sprintf("%s: removed %s", k, oldValues[k]))
		}
	}
	return lines
}

// flatten returns the keys of a printed part in order, and their values. A table
// in a list becomes a single entry: its last field is the value, and the other
// fields are part of the key.
func flatten(text []byte) ([]string, map[string]string) {
	var keys []string
	values := map[string]string{}
	for i, table := range bytes.Split(text, []byte("\n\n")) {
		lines := strings.Split(strings.TrimSpace(string(table)), "\n")
		if i == 0 {
			for _, l := range lines {
				if k, v, ok := strings.Cut(l, " = "); ok {
					keys = append(keys, k)
					values[k] = v
				}
			}
			continue
		}
		_, list, _ := strings.Cut(strings.Trim(lines[0], "[]"), ".")
		fields := make([]string, 0, len(lines))
		for _, l := range lines[1:] {
			_, v, _ := strings.Cut(l, " = ")
			fields = append(fields, strings.Trim(v, `"`))
		}
		split := len(fields) - 1 // the last field is the value, the others are the key
		k := list + " " + strings.Join(fields[:split], " ")
		keys = append(keys, k)
		values[k] = fields[split]
	}
	return keys, values
}

// CheckTransition checks whether this configuration may replace a previous one
// and returns one line per problem. The version must increase, the venture name
// must stay the same, budgets must not decrease, and top-ups must not change or
// disappear. An account may be removed entirely; its tokens stay in the ledger.
func (c *Configuration) CheckTransition(previous *Configuration) []string {
	var problems []string
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf(format, args...))
	}
	if c.venture.Name != previous.venture.Name {
		report("name: %q, expected %q as before", c.venture.Name, previous.venture.Name)
	}
	if c.venture.Version <= previous.venture.Version {
		report("version: %d, expected a number above %d", c.venture.Version, previous.venture.Version)
	}
	for a := range c.Accounts(previous) {
		old := previous.account(a.Name)
		if old == nil {
			continue
		}
		if a.Budget < old.Budget {
			report("account %s: budget %d, expected %d or more as before", a.Name, a.Budget, old.Budget)
		}
		for _, t := range old.Topups {
			if !slices.Contains(a.Topups, account.Topup{Name: t.Name, Tokens: t.Tokens}) {
				report("account %s: top-up %s of %d tokens was accepted and is missing or changed", a.Name, t.Name, t.Tokens)
			}
		}
	}
	return problems
}
