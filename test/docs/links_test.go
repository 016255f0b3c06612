package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	link    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	dropped = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// It guards against links to pages and headings that have moved.
func TestLinks(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, filepath.Join(root, "README.md"), filepath.Join(root, "CONTRIBUTING.md"))
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			name, anchor, _ := strings.Cut(m[1], "#")
			target := page
			if name != "" {
				target = filepath.Join(filepath.Dir(page), name)
			}
			content, err := os.ReadFile(target)
			if info, statErr := os.Stat(target); statErr != nil || err != nil && !info.IsDir() {
				t.Errorf("%s: there is no %s", page, m[1])
				continue
			}
			if anchor != "" && !slices.Contains(anchors(string(content)), anchor) {
				t.Errorf("%s: there is no heading %s", page, m[1])
			}
		}
	}
}

// anchors returns the anchors of all headings of a page.
func anchors(text string) []string {
	var list []string
	for _, m := range heading.FindAllStringSubmatch(text, -1) {
		list = append(list, strings.ReplaceAll(dropped.ReplaceAllString(strings.ToLower(m[1]), ""), " ", "-"))
	}
	return list
}

// It guards against pages that nobody finds.
func TestListed(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	readme := read(t, "README.md")
	for _, page := range pages {
		if want := "(docs/" + filepath.Base(page) + ")"; !strings.Contains(readme, want) {
			t.Errorf("README.md: got no link %s", want)
		}
	}
}
