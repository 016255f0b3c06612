package fault

import (
	"bytes"
	"os"
	"testing"
)

// The page must not document other codes than callers get.
func TestPage(t *testing.T) {
	got, err := os.ReadFile("../../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	if want := Page(); !bytes.Equal(got, want) {
		t.Error("docs/errors.md differs from the table; regenerate it with: go generate ./internal/fault")
	}
}
