package alerts

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Each rule must fire on the samples of its failure and on no others. The
// samples are in testdata/cases.txt; UPDATE=1 writes the alerts that fire to
// testdata/firing.txt, for a look at the difference.
func TestRules(t *testing.T) {
	e, err := New(read(t, "../../docs/alerts.md"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, text := range []string{read(t, "testdata/cases.txt"), read(t, "testdata/recorded.txt")} {
		for section := range strings.SplitSeq(strings.TrimPrefix(text, "== "), "\n== ") {
			title, series, _ := strings.Cut(section, "\n")
			interval, err := time.ParseDuration(title[strings.LastIndex(title, " ")+1:])
			if err != nil {
				t.Fatal(err)
			}
			samples, err := e.Parse(series, interval)
			if err != nil {
				t.Fatal(err)
			}
			lines, err := e.Firing(t.Context(), samples)
			if err != nil {
				t.Fatal(err)
			}
			got.WriteString("== " + strings.Join(append([]string{title}, lines...), "\n") + "\n")
		}
	}
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile("testdata/firing.txt", []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if want := read(t, "testdata/firing.txt"); got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
	for _, name := range e.Names() {
		if !slices.ContainsFunc(strings.Split(got.String(), "\n"), func(l string) bool { return strings.HasPrefix(l, name) }) {
			t.Errorf("%s fires on no samples", name)
		}
	}
}
