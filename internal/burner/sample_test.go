package burner

import (
	"bytes"
	"encoding/base64"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/pkg/venture"
)

// sample returns the scrapes of a run of the sample fleet in which all engines
// were killed for a while, and two holders at the end.
func sample(t *testing.T) *Burner {
	t.Helper()
	b := New(Config{Objectives: []venture.Objective{
		{Name: "availability", Measure: venture.Availability, Share: 0.999},
		{Name: "first-token", Measure: venture.FirstToken, Limit: 420, Share: 0.95},
		{Name: "ibumba-refusals", Account: "ibumba", Measure: venture.FalseRefusals, Share: 0.9999},
		{Name: "overspend", Measure: venture.Overspend, Share: 1},
		{Name: "wondimu-between-tokens", Account: "wondimu", Measure: venture.BetweenTokens, Limit: 49, Share: 0.95},
	}})
	if err := b.Load("testdata/scrapes.json"); err != nil || len(b.scrapes) == 0 {
		t.Fatalf("got %d scrapes, error %v", len(b.scrapes), err)
	}
	return b
}

// It guards against changes of the report that nobody has looked at, and
// against samples in docs/ that the program no longer writes. UPDATE=1 writes
// them.
func TestSample(t *testing.T) {
	b := sample(t)
	for path, write := range map[string]func(io.Writer) error{"burn.txt": b.Text, "burn.json": b.JSON, "burn.html": b.Page} {
		var got bytes.Buffer
		if err := write(&got); err != nil {
			t.Fatal(err)
		}
		path = "../../docs/" + path
		if os.Getenv("UPDATE") != "" {
			if err := os.WriteFile(path, got.Bytes(), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if want, err := os.ReadFile(path); err != nil || !bytes.Equal(got.Bytes(), want) {
			t.Errorf("%s: got other content (error %v)\n%.400s", path, err, got.String())
		}
	}
}

// words returns the text of a document that is well-formed, and the sources of
// its images.
func words(t *testing.T, document io.Reader) (text string, images []string) {
	t.Helper()
	d := xml.NewDecoder(document)
	var all []string
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return strings.Join(all, " "), images
		}
		if err != nil {
			t.Fatalf("not well-formed: %v", err)
		}
		switch token := token.(type) {
		case xml.CharData:
			if word := strings.TrimSpace(string(token)); word != "" {
				all = append(all, word)
			}
		case xml.StartElement:
			for _, a := range token.Attr {
				if token.Name.Local == "img" && a.Name.Local == "src" {
					images = append(images, a.Value)
				}
			}
		}
	}
}

// It guards against a page that browsers repair each in their way, that leaves
// out an objective or an instance, or has plots without axes and units.
func TestPage(t *testing.T) {
	var page bytes.Buffer
	if err := sample(t).Page(&page); err != nil {
		t.Fatal(err)
	}
	text, images := words(t, &page)
	for _, want := range []string{
		"7 scrapes.", "fast, above 14.4 in 5m and 1h; slow, above 6 in 30m and 6h",
		"b1 missing: ", "c1 missing: ", "a1 scraped", "c2 scraped",
		"availability, all, objective: 99.9% Firing: fast slow window covers bad of burn rate 5m 5m 484 1192 406.04",
		"first-token, all, objective: 95% in 420 ms", "false-refusals, account ibumba, objective: 99.99%",
		"between-tokens, account wondimu, objective: 95% in 49 ms",
		"overspend, all, objective: 0 tokens Not known: books are missing.",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("got no %q in\n%s", want, text)
		}
	}
	if got, want := len(images), 4; got != want {
		t.Errorf("got %d plots, want %d", got, want)
	}
	for _, image := range images {
		svg, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(image, "data:image/svg+xml;base64,"))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := words(t, bytes.NewReader(svg))
		for _, want := range []string{"time from the last scrape [min]", "burn rate [bad / allowed]", "window 5m", "window 1h", "fast fires above 14.4"} {
			if !strings.Contains(text, want) {
				t.Errorf("plot: got no %q in %q", want, text)
			}
		}
	}
}
