package configuration

import (
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// decimal matches the integers and floats allowed in a configuration. Other
// bases, infinities and NaN are not allowed.
var decimal = regexp.MustCompile(`^[+-]?(0|[1-9](_?[0-9])*)(\.[0-9](_?[0-9])*)?([eE][+-]?[0-9]+)?$`)

// setNumber stores a number in v and reports whether it fits the type of v.
func setNumber(v reflect.Value, n *unstable.Node) bool {
	if n.Kind != unstable.Integer && n.Kind != unstable.Float || !decimal.Match(n.Data) {
		return false
	}
	text := strings.TrimPrefix(strings.ReplaceAll(string(n.Data), "_", ""), "+")
	switch v.Kind() {
	case reflect.Int64:
		i, err := strconv.ParseInt(text, 10, 64)
		v.SetInt(i)
		return err == nil
	case reflect.Uint64:
		u, err := strconv.ParseUint(text, 10, 63)
		v.SetUint(u)
		return err == nil
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		v.SetFloat(f)
		return err == nil
	}
	return false
}

// setTime stores a date and time with a UTC offset in v and reports whether text
// is one.
func setTime(v reflect.Value, text string) bool {
	t, err := time.Parse(time.RFC3339Nano, strings.Replace(strings.ToUpper(text), " ", "T", 1))
	if err != nil {
		return false
	}
	v.Set(reflect.ValueOf(t.UTC()))
	return true
}

// describeType describes the values of a type for error messages.
func describeType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return "a date and time such as 2026-01-31T08:00:00Z"
	case t.Kind() == reflect.String:
		return "a string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Int64:
		return "an integer"
	case t.Kind() == reflect.Uint64:
		return "an integer of 0 or more"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.String:
		return "a list of strings"
	case t.Kind() == reflect.Slice:
		return "a list of tables"
	}
	return "a table"
}
