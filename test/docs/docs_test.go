package docs

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/settings"
	"github.com/papayapond/papayapond/pkg/venture"
)

const root = "../.."

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// keys returns "key type" for all keys of a type, in the order of the fields.
func keys(prefix string, t reflect.Type) []string {
	var list []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		var kind string
		var below []string
		switch {
		case f.Type == reflect.TypeFor[time.Time]():
			kind = "date and time"
		case f.Type.Kind() == reflect.Struct:
			kind, below = "table", keys(key+".", f.Type)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			kind, below = "list of tables", keys(key+".", f.Type.Elem())
		case f.Type.Kind() == reflect.Slice:
			kind = "list of strings"
		case f.Type.Kind() == reflect.String:
			kind = "string"
		case f.Type.Kind() == reflect.Bool:
			kind = "boolean"
		case f.Type.Kind() == reflect.Float64:
			kind = "float"
		default:
			kind = "integer"
		}
		list = append(append(list, key+" "+kind), below...)
	}
	return list
}

var row = regexp.MustCompile("(?m)^\\| `([a-z.]+)` \\| ([a-z ]+) \\|")

// It guards against keys that a page lacks, and against pages that name keys
// that don't exist.
func TestKeys(t *testing.T) {
	for page, of := range map[string]reflect.Type{
		"docs/settings.md":      reflect.TypeFor[settings.Settings](),
		"docs/configuration.md": reflect.TypeFor[venture.Venture](),
	} {
		var got []string
		for _, m := range row.FindAllStringSubmatch(read(t, page), -1) {
			got = append(got, m[1]+" "+m[2])
		}
		if want := keys("", of); !slices.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", page, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}

// It guards against examples that are refused.
func TestExamples(t *testing.T) {
	example := func(page string) []byte {
		_, rest, _ := strings.Cut(read(t, page), "```toml\n")
		text, _, _ := strings.Cut(rest, "```")
		return []byte(text)
	}
	if _, err := settings.Parse("settings.md", example("docs/settings.md")); err != nil {
		t.Error(err)
	}
	if _, err := configuration.Parse(example("docs/configuration.md")); err != nil {
		t.Error(err)
	}
}

// It guards against defaults on the page that the code doesn't have.
func TestDefaults(t *testing.T) {
	for page, lines := range map[string][]string{
		"docs/settings.md":      {fmt.Sprintf("| `drain` | string | `%q` |", settings.DefaultDrainTimeout.String())},
		"docs/configuration.md": {fmt.Sprintf("| `reserve` | float | `%g` |", venture.DefaultReserve), fmt.Sprintf("`%s`", strings.Join(venture.Measures()[:3], "`, `"))},
	} {
		text := read(t, page)
		for _, want := range lines {
			if !strings.Contains(text, want) {
				t.Errorf("%s: got no %s", page, want)
			}
		}
	}
}
