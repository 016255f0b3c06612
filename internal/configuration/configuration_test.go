package configuration

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/printer"
)

var update = flag.Bool("update", false, "update the golden files")

func read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func parse(t testing.TB, text string) *Configuration {
	t.Helper()
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(filepath.Join("testdata", name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// If the printed form were unstable, the same content could have two digests,
// and a resent configuration would be refused as a conflict.
func TestPrintedFormIsStable(t *testing.T) {
	c := parse(t, string(read(t, "valid.toml")))
	golden(t, "valid.golden", c.Text())
	if got := printer.Text(c.Venture()); !bytes.Equal(got, c.Text()) {
		t.Errorf("printer.Text: got\n%s\nwant\n%s", got, c.Text())
	}
	again := parse(t, string(c.Text()))
	if !bytes.Equal(again.Text(), c.Text()) || !bytes.Equal(again.Digest(), c.Digest()) {
		t.Errorf("printed after parsing again: got\n%s\nwant\n%s", again.Text(), c.Text())
	}
}

// Reporting one problem at a time would cost operators an attempt per problem.
func TestAllProblemsAreReported(t *testing.T) {
	_, err := Parse(read(t, "broken.toml"))
	if got := fault.Of(err); err == nil || got != fault.Malformed {
		t.Fatalf("got %v, want malformed", err)
	}
	golden(t, "broken.golden", []byte(strings.ReplaceAll(err.Error(), "; ", "\n")+"\n"))
	if strings.Contains(err.Error(), "secret") {
		t.Error("got a key in the error, want none")
	}
}

// A wrong lookup would serve an account that doesn't exist or use a target of
// another group.
func TestLookups(t *testing.T) {
	c := parse(t, string(read(t, "valid.toml")))
	a, ok := c.Account("bakery")
	if got, want := fmt.Sprint(ok, a.Weight, a.Topups), "true 3 [{april 70}]"; got != want {
		t.Errorf("account: got %s, want %s", got, want)
	}
	if _, ok := c.Account("baker"); ok {
		t.Error("account baker: got one, want none")
	}
	if m, ok := c.Model("quote-8b"); !ok || m.Context != 8192 {
		t.Errorf("model: got %v %v", m, ok)
	}
	if s, ok := c.Service("orders"); !ok || len(s.Calls) != 2 {
		t.Errorf("service: got %v %v", s, ok)
	}
	for target, want := range map[string]string{"gpu-1": "gpu-", "app-": "app-", "gp": "", "cpu-1": ""} {
		if g, _ := c.Group(target); g.Name != want {
			t.Errorf("group of %s: got %q, want %q", target, g.Name, want)
		}
	}
}

// Syntax errors must be reported with their line and must not panic.
func TestSyntaxErrors(t *testing.T) {
	for text, want := range map[string]string{
		"version = ":                         "line 1",
		"version = 1\nname = \"a":            "line 2",
		"[[accounts.topups]]\nname = \"a\"":  "line 1: [[accounts.topups]]: expected the header of its parent before",
		"version = 1\nversion = 2":           "line 2: version: defined twice",
		"accounts = [{}]\n[[accounts]]":      "line 2: [[accounts]]: defined twice",
		"[[version]]":                        "line 1: [[version]]: expected a value, an integer of 0 or more",
		"version = -1":                       "line 1: version: expected an integer of 0 or more",
		"start = 2026-01-01":                 "line 1: start: expected a date and time",
		"reserve = nan":                      "line 1: reserve: expected a number",
		"[[models]]\nname = [\"a\"]":         "line 2: models[0].name: expected a string",
		"[[models]]\nname.x = \"a\"":         "line 2: models[0].name.x: unknown key",
		"[[services]]\ncalls = [{path = 1}]": "line 2: services[0].calls[0].path: expected a string",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

// If applying sections doesn't reproduce the content, instances have different
// configurations with the same version.
func TestChangesAndSections(t *testing.T) {
	c := parse(t, string(read(t, "valid.toml")))
	text := strings.Replace(string(c.Text()), "version = 2\nreplaces = 1", "version = 5\nreplaces = 4", 1)
	text = strings.Replace(text, "budget = 1000", "budget = 2000", 1)
	text = strings.Replace(text, "bakery", "cafe", 1)
	next := parse(t, text)
	got, err := c.With(next.Changes(c), 5)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Digest(), next.Digest()) {
		t.Errorf("changes: got\n%s\nwant\n%s", got.Text(), next.Text())
	}
	lines := c.Diff(next)
	want := []string{"account cafe: added", "account mill: budget: 1000 -> 2000", "account bakery: removed"}
	if !slices.Equal(lines, want) {
		t.Errorf("diff: got %q, want %q", lines, want)
	}
	whole, err := parse(t, "version = 2\nname = \"x\"\nstart = 2026-01-01T00:00:00Z\nend = 2026-01-02T00:00:00Z").With(c.Sections(), 3)
	if err != nil || whole.Replaces() != 2 || whole.Version() != 3 {
		t.Fatalf("all sections: got %v", err)
	}
	if got := c.Diff(whole); len(got) != 0 {
		t.Errorf("all sections: got diff %q, want none", got)
	}
}

// Sections must not bypass the checks of Parse.
func TestSectionsAreChecked(t *testing.T) {
	c := parse(t, string(read(t, "valid.toml")))
	for _, test := range []struct {
		name    string
		section *wire.Section
		want    string
	}{
		{"reference", &wire.Section{Kind: "model", Name: "quote-8b"}, `account mill: "quote-8b" is not among the models`},
		{"kind", &wire.Section{Kind: "boat", Name: "a"}, "unknown kind"},
		{"name", &wire.Section{Kind: "model", Name: "a", Text: []byte("[[models]]\nname = \"b\"")}, "must contain exactly this part"},
		{"syntax", &wire.Section{Kind: "model", Name: "a", Text: []byte("[[models]]\nnom = 1")}, "line 2: models[0].nom: unknown key"},
		{"two parts", &wire.Section{Kind: "model", Name: "a", Text: []byte("[[models]]\nname = \"a\"\noutput = 1\ncontext = 1\n[[models]]\nname = \"b\"")}, "contains more than this part"},
		{"duplicate key", &wire.Section{Kind: "account", Name: "inn", Text: []byte("[[accounts]]\nname = \"inn\"\nkeys = [\"0011223344556677:2222222222222222222222222222222222222222222222222222222222222222\"]")}, "account inn: the key is used twice, also by account mill"},
		{"duplicate top-up", &wire.Section{Kind: "account", Name: "inn", Text: []byte("[[accounts]]\nname = \"inn\"\n[[accounts.topups]]\nname = \"march\"\ntokens = 1")}, "top-up march is defined twice, also in account mill"},
		{"head in an account", &wire.Section{Kind: "account", Name: "inn", Text: []byte("name = \"x\"\n[[accounts]]\nname = \"inn\"")}, "contains more than this part"},
		{"replaces", &wire.Section{Kind: "replaces", Text: []byte("replaces = 3")}, "expected a number below version 3"},
		{"head", &wire.Section{Kind: "venture"}, "must contain exactly this part"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := c.With([]*wire.Section{test.section}, 3)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %s", err, test.want)
			}
		})
	}
}

// A lower budget or a missing top-up would take away tokens that an account has
// paid for.
func TestCheckTransition(t *testing.T) {
	c := parse(t, string(read(t, "valid.toml")))
	text := strings.NewReplacer("version = 2\nreplaces = 1", "version = 2", "wondimu", "ibumba",
		"budget = 1000", "budget = 999", "tokens = 50", "tokens = 51").Replace(string(c.Text()))
	got := parse(t, text).CheckTransition(c)
	want := []string{
		`name: "ibumba", expected "wondimu" as before`,
		"version: 2, expected a number above 2",
		"account mill: budget 999, expected 1000 or more as before",
		"account mill: top-up march of 50 tokens was accepted and is missing or changed",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// The parser gets unchecked text from operators. It must not panic, and the
// printed form of what it accepts must parse to the same digest.
func FuzzParse(f *testing.F) {
	f.Add(read(f, "valid.toml"))
	f.Add(read(f, "broken.toml"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text)
		if err != nil {
			if fault.Of(err) != fault.Malformed {
				t.Fatalf("got %v, want malformed", err)
			}
			return
		}
		again, err := Parse(c.Text())
		if err != nil || !bytes.Equal(again.Digest(), c.Digest()) {
			t.Fatalf("parsing the printed form: got %v\n%s", err, c.Text())
		}
	})
}
