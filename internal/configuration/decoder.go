package configuration

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/papayapond/papayapond/pkg/venture"
)

// decoder reads TOML into a venture and goes on after a problem, which the
// decoder of the library doesn't.
type decoder struct {
	text     []byte
	starts   []int // offsets of the lines
	problems []problem
	broken   bool           // the syntax is wrong
	lines    map[string]int // by path, kept only after a problem was found
	levels   []level        // open tables, the document first
}

// level is an open table.
type level struct {
	value    reflect.Value
	key      string // name of the list that the table is in
	path     string
	assigned uint64 // fields that have a value, by number
}

// fields are the numbers of the fields by key, for each type of a table.
var fields = tabulate(map[reflect.Type]map[string]int{}, reflect.TypeFor[venture.Venture]())

func tabulate(table map[reflect.Type]map[string]int, t reflect.Type) map[reflect.Type]map[string]int {
	keys := map[string]int{}
	table[t] = keys
	for i := range t.NumField() {
		f := t.Field(i)
		keys[f.Tag.Get("toml")] = i
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			tabulate(table, f.Type.Elem())
		}
	}
	return table
}

func newDecoder(text []byte) *decoder {
	d := &decoder{text: text, starts: []int{0}}
	for i, b := range text {
		if b == '\n' {
			d.starts = append(d.starts, i+1)
		}
	}
	return d
}

func (d *decoder) decode(v *venture.Venture) {
	var p unstable.Parser
	p.Reset(d.text)
	d.levels = []level{{value: reflect.ValueOf(v).Elem()}}
	skip := false
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.ArrayTable:
			skip = !d.open(e)
		case unstable.Table:
			keys, line := d.keys(e)
			d.report(line, "", "[%s]: expected a list such as [[accounts]]", strings.Join(keys, "."))
			skip = true
		case unstable.KeyValue:
			if !skip {
				d.assign(&d.levels[len(d.levels)-1], e)
			}
		}
	}
	if p.Error() != nil {
		d.broken = true
		d.syntax(p.Error())
	}
}

// syntax reports the position of a syntax error, which the parser itself
// doesn't give.
func (d *decoder) syntax(cause error) {
	var decode *toml.DecodeError
	if err := toml.Unmarshal(d.text, &map[string]any{}); errors.As(err, &decode) {
		line, _ := decode.Position()
		d.report(line, "", "%s", strings.TrimPrefix(decode.Error(), "toml: "))
		return
	}
	d.report(0, "", "%v", cause)
}

// open enters the array table of a header and tells whether it exists.
func (d *decoder) open(e *unstable.Node) bool {
	keys, line := d.keys(e)
	header := "[[" + strings.Join(keys, ".") + "]]"
	if len(keys) > len(d.levels) {
		d.report(line, "", "%s: expected the header of its parent before", header)
		return false
	}
	for i, key := range keys[:len(keys)-1] {
		if d.levels[i+1].key != key {
			d.report(line, "", "%s: expected the header of its parent before", header)
			return false
		}
	}
	d.levels = d.levels[:len(keys)]
	parent := &d.levels[len(keys)-1]
	key := keys[len(keys)-1]
	number, ok := fields[parent.value.Type()][key]
	if !ok {
		d.report(line, "", "%s: unknown table", header)
		return false
	}
	list := parent.value.Field(number)
	if list.Kind() != reflect.Slice || list.Type().Elem().Kind() != reflect.Struct {
		d.report(line, join(parent.path, key), "%s: expected a value, %s", header, describe(list.Type()))
		return false
	}
	if parent.assigned&(1<<number) != 0 {
		d.report(line, "", "%s: defined twice", header)
		return false
	}
	path := fmt.Sprintf("%s[%d]", join(parent.path, key), list.Len())
	d.note(path, line)
	grow(list)
	d.levels = append(d.levels, level{value: list.Index(list.Len() - 1), key: key, path: path})
	return true
}

// assign sets the field that a key and value name.
func (d *decoder) assign(l *level, e *unstable.Node) {
	keys, line := d.keys(e)
	key := strings.Join(keys, ".")
	number, ok := fields[l.value.Type()][key]
	switch {
	case !ok:
		d.report(line, "", "%s: unknown key", join(l.path, key))
		return
	case l.assigned&(1<<number) != 0:
		d.report(line, "", "%s: defined twice", join(l.path, key))
		return
	}
	l.assigned |= 1 << number
	if d.lines != nil {
		d.note(join(l.path, key), line)
	}
	d.set(l.value.Field(number), e.Value(), line, func() string { return join(l.path, key) })
}

// set stores a value in a field of the same type.
func (d *decoder) set(v reflect.Value, n *unstable.Node, line int, path func() string) {
	switch {
	case v.Kind() == reflect.String && n.Kind == unstable.String:
		v.SetString(string(n.Data))
	case v.Kind() == reflect.Bool && n.Kind == unstable.Bool:
		v.SetBool(string(n.Data) == "true")
	case v.Kind() == reflect.Slice && n.Kind == unstable.Array:
		d.setList(v, n, line, path)
	case v.Kind() == reflect.Struct && n.Kind == unstable.InlineTable:
		l := &level{value: v, path: path()}
		for it := n.Children(); it.Next(); {
			d.assign(l, it.Node())
		}
	case setNumber(v, n):
	case v.Type() == reflect.TypeFor[time.Time]() && n.Kind == unstable.DateTime && setTime(v, string(n.Data)):
	default:
		d.report(line, path(), "%s: expected %s", path(), describe(v.Type()))
	}
}

func (d *decoder) setList(v reflect.Value, n *unstable.Node, line int, path func() string) {
	for it := n.Children(); it.Next(); {
		grow(v)
		i := v.Len() - 1
		d.set(v.Index(i), it.Node(), line, func() string { return fmt.Sprintf("%s[%d]", path(), i) })
		if d.lines != nil {
			d.note(fmt.Sprintf("%s[%d]", path(), i), line)
		}
	}
}

func grow(list reflect.Value) {
	list.Set(reflect.Append(list, reflect.Zero(list.Type().Elem())))
}

// keys returns the parts of the key of a node and its line.
func (d *decoder) keys(n *unstable.Node) ([]string, int) {
	var keys []string
	line := 0
	for it := n.Key(); it.Next(); {
		if len(keys) == 0 {
			line = d.at(int(it.Node().Raw.Offset))
		}
		keys = append(keys, string(it.Node().Data))
	}
	return keys, line
}

// at returns the line of an offset.
func (d *decoder) at(offset int) int {
	return sort.Search(len(d.starts), func(i int) bool { return d.starts[i] > offset })
}

func (d *decoder) report(line int, path, format string, args ...any) {
	d.problems = append(d.problems, problem{line: line, path: path, text: fmt.Sprintf(format, args...)})
}

func (d *decoder) note(path string, line int) {
	if d.lines != nil {
		d.lines[path] = line
	}
}

// line returns the line of the value at a path or, if it is missing, of the
// table that lacks it.
func (d *decoder) line(path string) int {
	if d.lines == nil {
		again := newDecoder(d.text)
		again.lines = map[string]int{}
		again.decode(&venture.Venture{})
		d.lines = again.lines
	}
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// isSuspect tells whether the value at the path has been reported already.
func (d *decoder) isSuspect(path string) bool {
	for _, p := range d.problems {
		if p.path != "" && strings.HasPrefix(path, p.path) {
			return true
		}
	}
	return false
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
