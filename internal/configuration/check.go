package configuration

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/service"
	"github.com/papayapond/papayapond/pkg/venture"
)

// MaxTokens is the maximum number of tokens in a configuration value. A sum of
// several hundred such values doesn't overflow an int64, and a float64
// represents each value exactly.
const MaxTokens = 1 << 53

var (
	validName   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$`)
	validPath   = regexp.MustCompile(`^/[!-~]{0,255}$`)
	validMethod = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// IsValidName reports whether a name is allowed in a configuration.
func IsValidName(name string) bool { return validName.MatchString(name) }

// checker collects the problems of a venture, with the paths of the values.
type checker struct {
	problems []problem
	models   func(name string) bool
	services func(name string) bool
	groups   func(name string) bool
	accounts func(name string) bool
	keys     map[string]string // owner by hash
	topups   map[string]string // account by name of the top-up
}

// check returns the problems of a venture, whose accounts are passed separately.
func check(v venture.Venture, accounts []*account.Account) []problem {
	c := &checker{keys: map[string]string{}, topups: map[string]string{}}
	c.head(v)
	checkNames(c, "operators", v.Operators, func(o *venture.Operator) string { return o.Name })
	c.models = checkNames(c, "models", v.Models, func(m *model.Model) string { return m.Name })
	c.services = checkNames(c, "services", v.Services, func(s *service.Service) string { return s.Name })
	c.groups = checkNames(c, "groups", v.Groups, func(g *group.Group) string { return g.Name })
	c.accounts = checkNames(c, "accounts", accounts, func(a **account.Account) string { return (*a).Name })
	checkNames(c, "objectives", v.Objectives, func(o *venture.Objective) string { return o.Name })
	for i, o := range v.Operators {
		c.key(fmt.Sprintf("operators[%d].key", i), "operator "+o.Name, o.Key)
	}
	for i, m := range v.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.amount(path+".output", "model "+m.Name+": output", m.Output, 1)
		c.amount(path+".context", "model "+m.Name+": context", m.Context, max(1, m.Output))
	}
	for i := range v.Services {
		c.service(fmt.Sprintf("services[%d]", i), v.Services[i])
	}
	c.prefixes(v.Groups)
	for i := range v.Groups {
		c.group(fmt.Sprintf("groups[%d]", i), v.Groups[i])
	}
	for i, a := range accounts {
		c.account(i, a)
	}
	for i, o := range v.Objectives {
		c.objective(fmt.Sprintf("objectives[%d]", i), o)
	}
	return c.problems
}

func (c *checker) report(path, format string, args ...any) {
	c.problems = append(c.problems, problem{path: path, text: fmt.Sprintf(format, args...)})
}

func (c *checker) head(v venture.Venture) {
	if v.Version == 0 {
		c.report("version", "version: missing, expected a number above 0")
	} else if v.Replaces >= v.Version {
		c.report("replaces", "replaces: %d, expected a number below version %d", v.Replaces, v.Version)
	}
	if !IsValidName(v.Name) {
		c.report("name", "name: %q, expected a name", v.Name)
	}
	for _, t := range []struct {
		key  string
		zero bool
		year int
	}{{"start", v.Start.IsZero(), v.Start.Year()}, {"end", v.End.IsZero(), v.End.Year()}} {
		if t.zero {
			c.report(t.key, "%s: missing, expected a date and time", t.key)
		} else if t.year < 1970 || t.year > 2200 {
			c.report(t.key, "%s: year %d, expected 1970 to 2200", t.key, t.year)
		}
	}
	if !v.Start.IsZero() && !v.End.IsZero() && !v.End.After(v.Start) {
		c.report("end", "end: not after start")
	}
	if !(v.Reserve >= 0 && v.Reserve <= 1) {
		c.report("reserve", "reserve: %v, expected 0 to 1", v.Reserve)
	}
}

// checkNames checks the names in a list and returns a function that reports
// whether a name is in the list.
func checkNames[T any](c *checker, list string, parts []T, name func(*T) string) func(string) bool {
	known := make(map[string]bool, len(parts))
	for i := range parts {
		n := name(&parts[i])
		if !IsValidName(n) {
			c.report(fmt.Sprintf("%s[%d].name", list, i), "%s[%d].name: %q, expected a name", list, i, n)
			continue
		}
		if known[n] {
			c.report(fmt.Sprintf("%s[%d].name", list, i), "%s: %s is defined twice", list, n)
		}
		known[n] = true
	}
	return func(n string) bool { return known[n] }
}

func (c *checker) amount(path, what string, n, least int64) {
	if n < least || n > MaxTokens {
		c.report(path, "%s: %d, expected %d to %d", what, n, least, int64(MaxTokens))
	}
}

// key checks the hash of a key. Problems don't include the hash.
func (c *checker) key(path, owner, hash string) {
	salt, sum, ok := strings.Cut(hash, ":")
	rawSalt, saltErr := hex.DecodeString(salt)
	rawSum, sumErr := hex.DecodeString(sum)
	if !ok || saltErr != nil || sumErr != nil || len(rawSalt) < account.MinSalt || len(rawSum) != 32 || strings.ToLower(hash) != hash {
		c.report(path, "%s: malformed key, expected salt:sha256 in lower-case hex with a salt of %d bytes or more", owner, account.MinSalt)
		return
	}
	if other, ok := c.keys[hash]; ok {
		c.report(path, "%s: the key is used twice, also by %s", owner, other)
	}
	c.keys[hash] = owner
}

func (c *checker) service(path string, s service.Service) {
	c.amount(path+".price", "service "+s.Name+": price", s.Price, 0)
	seen := map[string]bool{}
	for i, call := range s.Calls {
		at := fmt.Sprintf("%s.calls[%d]", path, i)
		if !validMethod.MatchString(call.Method) {
			c.report(at+".method", "service %s: method %q, expected an HTTP method", s.Name, call.Method)
		}
		if !validPath.MatchString(call.Path) {
			c.report(at+".path", "service %s: path %q, expected a path such as /orders", s.Name, call.Path)
		}
		if id := call.Method + " " + call.Path; seen[id] {
			c.report(at, "service %s: %s is defined twice", s.Name, id)
		} else {
			seen[id] = true
		}
	}
}

func (c *checker) group(path string, g group.Group) {
	if g.Kind != group.Engine && g.Kind != group.Service {
		c.report(path+".kind", "group %s: kind %q, expected %s or %s", g.Name, g.Kind, group.Engine, group.Service)
	}
	c.key(path+".key", "group "+g.Name, g.Key)
}

// prefixes reports groups whose name starts with the name of another group. In
// sorted order, a prefix is directly followed by the names that start with it.
func (c *checker) prefixes(groups []group.Group) {
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool { return groups[order[i]].Name < groups[order[j]].Name })
	last := ""
	for _, i := range order {
		name := groups[i].Name
		if last != "" && name != last && strings.HasPrefix(name, last) {
			c.report(fmt.Sprintf("groups[%d].name", i), "group %s: the name overlaps with the prefix %s", name, last)
			continue
		}
		last = name
	}
}

func (c *checker) account(index int, a *account.Account) {
	path := func(key string) string { return fmt.Sprintf("accounts[%d].%s", index, key) }
	if a.Budget < 0 || a.Budget > MaxTokens {
		c.amount(path("budget"), "account "+a.Name+": budget", a.Budget, 0)
	}
	if a.Weight < 0 || a.Weight > 1_000_000 {
		c.report(path("weight"), "account %s: weight %d, expected 1 to 1000000", a.Name, a.Weight)
	}
	for i, k := range a.Keys {
		c.key(path(fmt.Sprintf("keys[%d]", i)), "account "+a.Name, k)
	}
	c.references(path, a.Name, "models", a.Models, c.models)
	c.references(path, a.Name, "services", a.Services, c.services)
	c.references(path, a.Name, "groups", a.Groups, c.groups)
	for i, t := range a.Topups {
		at := path(fmt.Sprintf("topups[%d]", i))
		if !IsValidName(t.Name) {
			c.report(at+".name", "account %s: top-up %q, expected a name", a.Name, t.Name)
		} else if other, ok := c.topups[t.Name]; ok {
			c.report(at+".name", "account %s: top-up %s is defined twice, also in account %s", a.Name, t.Name, other)
		}
		c.topups[t.Name] = a.Name
		c.amount(at+".tokens", "account "+a.Name+": top-up "+t.Name, t.Tokens, 1)
	}
}

func (c *checker) references(path func(string) string, owner, list string, names []string, known func(string) bool) {
	for i, n := range names {
		at := func() string { return path(fmt.Sprintf("%s[%d]", list, i)) }
		if !known(n) {
			c.report(at(), "account %s: %q is not among the %s", owner, n, list)
		}
		if slices.Contains(names[:i], n) {
			c.report(at(), "account %s: %s lists %s twice", owner, list, n)
		}
	}
}

func (c *checker) objective(path string, o venture.Objective) {
	if o.Account != "" && !c.accounts(o.Account) {
		c.report(path+".account", "objective %s: %q is not among the accounts", o.Name, o.Account)
	}
	if o.Class != "" && !IsValidName(o.Class) {
		c.report(path+".class", "objective %s: class %q, expected a name", o.Name, o.Class)
	}
	if o.Account != "" && o.Class != "" {
		c.report(path+".class", "objective %s: expected an account or a class, not both", o.Name)
	}
	if !slices.Contains(venture.Measures(), o.Measure) {
		c.report(path+".measure", "objective %s: measure %q, expected one of %s", o.Name, o.Measure, strings.Join(venture.Measures(), ", "))
	}
	timed := o.Measure == venture.FirstToken || o.Measure == venture.BetweenTokens
	if o.Limit < 0 || timed && o.Limit == 0 {
		c.report(path+".limit", "objective %s: limit %d, expected a number above 0", o.Name, o.Limit)
	}
	if !(o.Share > 0 && o.Share <= 1) {
		c.report(path+".share", "objective %s: share %v, expected above 0 and up to 1", o.Name, o.Share)
	}
}
