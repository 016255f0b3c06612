package printer

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/service"
	"github.com/papayapond/papayapond/pkg/venture"
)

// Printer writes ventures to a writer.
type Printer struct {
	w io.Writer
}

// New returns a printer that writes to w.
func New(w io.Writer) Printer { return Printer{w} }

// Print prints the configuration of v. It returns the error of the writer.
func (p Printer) Print(v venture.Venture) error {
	_, err := p.w.Write(Text(v))
	return err
}

// Text returns the output of Print.
func Text(v venture.Venture) []byte {
	b := appendInt(nil, "version", int64(v.Version))
	b = appendInt(b, "replaces", int64(v.Replaces))
	b = append(b, Head(v)...)
	b = appendSorted(b, v.Operators, func(o venture.Operator) string { return o.Name }, Operator)
	b = appendSorted(b, v.Models, func(m model.Model) string { return m.Name }, Model)
	b = appendSorted(b, v.Services, func(s service.Service) string { return s.Name }, Service)
	b = appendSorted(b, v.Groups, func(g group.Group) string { return g.Name }, Group)
	b = appendSorted(b, v.Accounts, func(a account.Account) string { return a.Name }, Account)
	b = appendSorted(b, v.Objectives, func(o venture.Objective) string { return o.Name }, Objective)
	return b
}

// Head returns the lines with the name, the term and the reserve.
func Head(v venture.Venture) []byte {
	b := appendString(nil, "name", v.Name)
	b = appendTime(b, "start", v.Start)
	b = appendTime(b, "end", v.End)
	return appendFloat(b, "reserve", v.Reserve)
}

// Operator returns the lines of one operator.
func Operator(o venture.Operator) []byte {
	b := appendString([]byte("[[operators]]\n"), "name", o.Name)
	return appendString(b, "key", o.Key)
}

// Model returns the lines of one model.
func Model(m model.Model) []byte {
	b := appendString([]byte("[[models]]\n"), "name", m.Name)
	b = appendInt(b, "output", m.Output)
	return appendInt(b, "context", m.Context)
}

// Service returns the lines of one service.
func Service(s service.Service) []byte {
	b := appendString([]byte("[[services]]\n"), "name", s.Name)
	b = appendInt(b, "price", s.Price)
	calls := slices.SortedFunc(slices.Values(s.Calls), func(x, y service.Call) int {
		return cmp.Or(cmp.Compare(x.Path, y.Path), cmp.Compare(x.Method, y.Method))
	})
	for _, c := range calls {
		b = append(b, "\n[[services.calls]]\n"...)
		b = appendString(b, "method", c.Method)
		b = appendString(b, "path", c.Path)
		b = append(b, "repeatable = "...)
		b = append(strconv.AppendBool(b, c.Repeatable), '\n')
	}
	return b
}

// Group returns the lines of one group.
func Group(g group.Group) []byte {
	b := appendString([]byte("[[groups]]\n"), "name", g.Name)
	b = appendString(b, "kind", g.Kind)
	return appendString(b, "key", g.Key)
}

// Account returns the lines of one account.
func Account(a account.Account) []byte {
	b := appendString(append(make([]byte, 0, 512), "[[accounts]]\n"...), "name", a.Name)
	b = appendInt(b, "budget", a.Budget)
	b = appendInt(b, "weight", a.Weight)
	b = appendStrings(b, "keys", a.Keys)
	b = appendStrings(b, "models", a.Models)
	b = appendStrings(b, "services", a.Services)
	b = appendStrings(b, "groups", a.Groups)
	topups := slices.SortedFunc(slices.Values(a.Topups), func(x, y account.Topup) int {
		return cmp.Compare(x.Name, y.Name)
	})
	for _, t := range topups {
		b = append(b, "\n[[accounts.topups]]\n"...)
		b = appendString(b, "name", t.Name)
		b = appendInt(b, "tokens", t.Tokens)
	}
	return b
}

// Objective returns the lines of one objective.
func Objective(o venture.Objective) []byte {
	b := appendString([]byte("[[objectives]]\n"), "name", o.Name)
	b = appendString(b, "account", o.Account)
	b = appendString(b, "class", o.Class)
	b = appendString(b, "measure", o.Measure)
	b = appendInt(b, "limit", o.Limit)
	return appendFloat(b, "share", o.Share)
}

func appendSorted[T any](b []byte, values []T, name func(T) string, lines func(T) []byte) []byte {
	sorted := slices.SortedStableFunc(slices.Values(values), func(x, y T) int {
		return cmp.Compare(name(x), name(y))
	})
	for _, v := range sorted {
		b = append(b, '\n')
		b = append(b, lines(v)...)
	}
	return b
}

func appendInt(b []byte, key string, n int64) []byte {
	b = append(append(b, key...), " = "...)
	return append(strconv.AppendInt(b, n, 10), '\n')
}

func appendFloat(b []byte, key string, f float64) []byte {
	s := strconv.FormatFloat(f, 'f', -1, 64)
	if !strings.Contains(s, ".") {
		s += ".0"
	}
	return append(b, key+" = "+s+"\n"...)
}

func appendTime(b []byte, key string, t time.Time) []byte {
	return append(b, key+" = "+t.UTC().Format(time.RFC3339Nano)+"\n"...)
}

func appendString(b []byte, key, s string) []byte {
	b = append(append(b, key...), " = "...)
	return append(appendQuoted(b, s), '\n')
}

func appendStrings(b []byte, key string, list []string) []byte {
	b = append(append(b, key...), " = ["...)
	if !slices.IsSorted(list) {
		list = slices.Sorted(slices.Values(list))
	}
	for i, s := range list {
		if i > 0 {
			b = append(b, ", "...)
		}
		b = appendQuoted(b, s)
	}
	return append(b, "]\n"...)
}

// appendQuoted appends s as a TOML basic string. It replaces invalid UTF-8,
// which TOML can't represent.
func appendQuoted(b []byte, s string) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	if !strings.ContainsFunc(s, func(r rune) bool { return r < 0x20 || r > 0x7e || r == '"' || r == '\\' }) {
		return append(append(b, s...), '"')
	}
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b = append(b, '\\', byte(r))
		case r < 0x20 || r == 0x7f:
			b = append(b, '\\', 'u', '0', '0', hex[r>>4], hex[r&0xf])
		default:
			b = append(b, string(r)...)
		}
	}
	return append(b, '"')
}
