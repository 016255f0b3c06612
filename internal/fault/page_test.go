package fault

import (
	"bytes"
	"os"
	"testing"
)

// It guards against a page that promises other codes than callers get.
func TestPage(t *testing.T) {
	got, err := os.ReadFile("../../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	if want := Page(); !bytes.Equal(got, want) {
		t.Error("docs/errors.md differs from the table; write it with: go generate ./internal/fault")
	}
}
