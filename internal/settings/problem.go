package settings

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// problem is an error in a file. If it is in a list of tables, table is the name
// of the list and index the position in it.
type problem struct {
	table string
	index int
	key   string
	text  string
}

// line returns the line of the invalid value. If the value is missing, it
// returns the line of its table, or 1 outside of tables.
func (p problem) line(text []byte) int {
	found, table, number := 1, "", -1
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			name := strings.Trim(strings.TrimSpace(strings.SplitN(l, "#", 2)[0]), "[] ")
			if name == p.table || p.table == "" && name == p.key {
				number++
			}
			if p.table == "" && name == p.key {
				return i + 1
			}
			table = name
			if table == p.table && number == p.index {
				found = i + 1
			}
			continue
		}
		inside := table == p.table && (p.table == "" || number == p.index)
		if key, _, ok := strings.Cut(l, "="); ok && inside && strings.TrimSpace(key) == p.key {
			return i + 1
		}
	}
	return found
}

// describeError formats a decoder error as one line with the file, line, key and
// expected value.
func describeError(path string, err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		lines := make([]string, 0, len(strict.Errors))
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: unknown key, expected %s", path, row, strings.Join(e.Key(), "."), expectedKeys(e.Key())))
		}
		return strings.Join(lines, "; ")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		if t, ok := fieldType(decode.Key()); ok {
			return fmt.Sprintf("%s:%d: %s: expected %s", path, row, strings.Join(decode.Key(), "."), typeName(t))
		}
		return fmt.Sprintf("%s:%d: %s", path, row, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return fmt.Sprintf("%s: %s", path, strings.TrimPrefix(err.Error(), "toml: "))
}

// fieldType returns the type of the field that a key names.
func fieldType(key []string) (reflect.Type, bool) {
	t := reflect.TypeFor[Settings]()
	for _, name := range key {
		if t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return nil, false
		}
		i := slices.Index(keysOf(t), name)
		if i < 0 {
			return nil, false
		}
		t = t.Field(i).Type
	}
	return t, len(key) > 0
}

// expectedKeys lists the keys that are valid in place of an unknown one.
func expectedKeys(key []string) string {
	t := reflect.TypeFor[Settings]()
	if parent, ok := fieldType(key[:len(key)-1]); ok {
		t = parent
	}
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return typeName(t)
	}
	return "one of " + strings.Join(keysOf(t), ", ")
}

func keysOf(t reflect.Type) []string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("toml"))
	}
	return keys
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list of tables"
	case reflect.Struct:
		return "a table"
	}
	return "a string"
}
