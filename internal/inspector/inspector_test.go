package inspector

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
)

// Reading the wrong field would misreport the cost of an instance. A process
// that has ended must return an error, not zero usage.
func TestUsage(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "7"), 0o755); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"stat":   "7 (a b) c) S 1 7 7 0 -1 4194560 100 0 0 0 150 25 0 0 20 0 9 0 100 1000 200\n",
		"io":     "rchar: 1000\nwchar: 200\nsyscr: 5\n",
		"status": "Name:\ta b) c\nVmHWM:\t    90 kB\nVmRSS:\t    64 kB\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, "7", name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	i := New(Config{Path: dir})
	want := Usage{Processor: 1750 * time.Millisecond, Read: 1000, Written: 200, Resident: 64 << 10}
	if got, err := i.Usage(7); err != nil || got != want {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	if _, err := i.Usage(8); !errors.Is(err, fault.Missing) {
		t.Errorf("ended process: got error %v, want %v", err, fault.Missing)
	}
	if err := os.WriteFile(filepath.Join(dir, "7", "io"), bytes.Repeat([]byte("x"), 9), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := i.Usage(7); !errors.Is(err, fault.Malformed) {
		t.Errorf("malformed io file: got error %v, want %v", err, fault.Malformed)
	}
}
