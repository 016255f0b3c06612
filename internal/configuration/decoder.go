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

// decoder decodes TOML into a venture. Unlike the decoder of the TOML library,
// it continues after a problem.
type decoder struct {
	text           []byte
	lineStarts     []int // offset of each line
	problems       []problem
	hasSyntaxError bool           // TOML syntax error, decoding stopped
	lines          map[string]int // line by path; nil until a problem needs it
	openTables     []openTable    // open tables, starting with the document
}

// openTable is the document, an array table or an inline table being decoded.
type openTable struct {
	value    reflect.Value
	key      string // key of the list that contains the table
	path     string
	assigned uint64 // bit set of assigned fields, by index
}

// fieldIndexes maps the keys of each table type to struct field indexes.
var fieldIndexes = indexFields(map[reflect.Type]map[string]int{}, reflect.TypeFor[venture.Venture]())

func indexFields(indexes map[reflect.Type]map[string]int, t reflect.Type) map[reflect.Type]map[string]int {
	keys := map[string]int{}
	indexes[t] = keys
	for i := range t.NumField() {
		f := t.Field(i)
		keys[f.Tag.Get("toml")] = i
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			indexFields(indexes, f.Type.Elem())
		}
	}
	return indexes
}

func newDecoder(text []byte) *decoder {
	d := &decoder{text: text, lineStarts: []int{0}}
	for i, b := range text {
		if b == '\n' {
			d.lineStarts = append(d.lineStarts, i+1)
		}
	}
	return d
}

func (d *decoder) decode(v *venture.Venture) {
	var p unstable.Parser
	p.Reset(d.text)
	d.openTables = []openTable{{value: reflect.ValueOf(v).Elem()}}
	skip := false
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.ArrayTable:
			skip = !d.enterTable(e)
		case unstable.Table:
			keys, line := d.keys(e)
			d.report(line, "", "[%s]: expected a list such as [[accounts]]", strings.Join(keys, "."))
			skip = true
		case unstable.KeyValue:
			if !skip {
				d.assign(&d.openTables[len(d.openTables)-1], e)
			}
		}
	}
	if p.Error() != nil {
		d.hasSyntaxError = true
		d.reportSyntaxError(p.Error())
	}
}

// reportSyntaxError reports a syntax error. The unstable parser doesn't return
// its position, so the text is parsed again with the stable one.
func (d *decoder) reportSyntaxError(cause error) {
	var decode *toml.DecodeError
	if err := toml.Unmarshal(d.text, &map[string]any{}); errors.As(err, &decode) {
		line, _ := decode.Position()
		d.report(line, "", "%s", strings.TrimPrefix(decode.Error(), "toml: "))
		return
	}
	d.report(0, "", "%v", cause)
}

// enterTable appends a table to the list that the header names and opens it. It
// reports whether the header is valid.
func (d *decoder) enterTable(e *unstable.Node) bool {
	keys, line := d.keys(e)
	header := "[[" + strings.Join(keys, ".") + "]]"
	if len(keys) > len(d.openTables) {
		d.report(line, "", "%s: expected the header of its parent before", header)
		return false
	}
	for i, key := range keys[:len(keys)-1] {
		if d.openTables[i+1].key != key {
			d.report(line, "", "%s: expected the header of its parent before", header)
			return false
		}
	}
	d.openTables = d.openTables[:len(keys)]
	parent := &d.openTables[len(keys)-1]
	key := keys[len(keys)-1]
	index, ok := fieldIndexes[parent.value.Type()][key]
	if !ok {
		d.report(line, "", "%s: unknown table", header)
		return false
	}
	list := parent.value.Field(index)
	if list.Kind() != reflect.Slice || list.Type().Elem().Kind() != reflect.Struct {
		d.report(line, join(parent.path, key), "%s: expected a value, %s", header, describeType(list.Type()))
		return false
	}
	if parent.assigned&(1<<index) != 0 {
		d.report(line, "", "%s: defined twice", header)
		return false
	}
	path := fmt.Sprintf("%s[%d]", join(parent.path, key), list.Len())
	d.recordLine(path, line)
	grow(list)
	d.openTables = append(d.openTables, openTable{value: list.Index(list.Len() - 1), key: key, path: path})
	return true
}

// assign sets the field that a key-value expression names.
func (d *decoder) assign(l *openTable, e *unstable.Node) {
	keys, line := d.keys(e)
	key := strings.Join(keys, ".")
	index, ok := fieldIndexes[l.value.Type()][key]
	switch {
	case !ok:
		d.report(line, "", "%s: unknown key", join(l.path, key))
		return
	case l.assigned&(1<<index) != 0:
		d.report(line, "", "%s: defined twice", join(l.path, key))
		return
	}
	l.assigned |= 1 << index
	if d.lines != nil {
		d.recordLine(join(l.path, key), line)
	}
	d.set(l.value.Field(index), e.Value(), line, func() string { return join(l.path, key) })
}

// set stores the value of n in v, or reports a type mismatch.
func (d *decoder) set(v reflect.Value, n *unstable.Node, line int, path func() string) {
	switch {
	case v.Kind() == reflect.String && n.Kind == unstable.String:
		v.SetString(string(n.Data))
	case v.Kind() == reflect.Bool && n.Kind == unstable.Bool:
		v.SetBool(string(n.Data) == "true")
	case v.Kind() == reflect.Slice && n.Kind == unstable.Array:
		d.setList(v, n, line, path)
	case v.Kind() == reflect.Struct && n.Kind == unstable.InlineTable:
		l := &openTable{value: v, path: path()}
		for it := n.Children(); it.Next(); {
			d.assign(l, it.Node())
		}
	case setNumber(v, n):
	case v.Type() == reflect.TypeFor[time.Time]() && n.Kind == unstable.DateTime && setTime(v, string(n.Data)):
	default:
		d.report(line, path(), "%s: expected %s", path(), describeType(v.Type()))
	}
}

func (d *decoder) setList(v reflect.Value, n *unstable.Node, line int, path func() string) {
	for it := n.Children(); it.Next(); {
		grow(v)
		i := v.Len() - 1
		d.set(v.Index(i), it.Node(), line, func() string { return fmt.Sprintf("%s[%d]", path(), i) })
		if d.lines != nil {
			d.recordLine(fmt.Sprintf("%s[%d]", path(), i), line)
		}
	}
}

func grow(list reflect.Value) {
	list.Set(reflect.Append(list, reflect.Zero(list.Type().Elem())))
}

// keys returns the parts of a node's dotted key, and its line.
func (d *decoder) keys(n *unstable.Node) ([]string, int) {
	var keys []string
	line := 0
	for it := n.Key(); it.Next(); {
		if len(keys) == 0 {
			line = d.lineAt(int(it.Node().Raw.Offset))
		}
		keys = append(keys, string(it.Node().Data))
	}
	return keys, line
}

// lineAt returns the line of an offset.
func (d *decoder) lineAt(offset int) int {
	return sort.Search(len(d.lineStarts), func(i int) bool { return d.lineStarts[i] > offset })
}

func (d *decoder) report(line int, path, format string, args ...any) {
	d.problems = append(d.problems, problem{line: line, path: path, text: fmt.Sprintf(format, args...)})
}

func (d *decoder) recordLine(path string, line int) {
	if d.lines != nil {
		d.lines[path] = line
	}
}

// lineOf returns the line of the value at a path or, if the value is missing, of
// its table.
func (d *decoder) lineOf(path string) int {
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

// isReported reports whether the value at the path already has a problem.
func (d *decoder) isReported(path string) bool {
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
