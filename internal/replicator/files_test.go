package replicator

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
)

// A folder that lost one of its files has forgotten votes or entries. It must
// not be opened as a new folder or a shorter log.
func TestMissingFile(t *testing.T) {
	for _, test := range []struct {
		name   string
		remove []string
		want   error
	}{
		{"complete", nil, nil},
		{"no ballot", []string{"ballot"}, fault.Corrupt},
		{"no journal", []string{"log", "snapshot"}, fault.Corrupt},
		{"single member, folder lost", []string{"ballot", "log", "snapshot"}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := Config{
				Name: "a", Members: []string{"a"}, Path: t.TempDir(),
				Apply: func(_ uint64, command []byte) []byte { return command },
			}
			runSingleMember(t, cfg)
			for _, name := range test.remove {
				if err := os.Remove(filepath.Join(cfg.Path, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
					t.Fatal(err)
				}
			}
			m, err := New(cfg)
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			if err == nil {
				_ = m.log.journal.Close()
			}
		})
	}
}

// runSingleMember runs a single-member log on real files and proposes a
// command.
func runSingleMember(t *testing.T, cfg Config) {
	t.Helper()
	m, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	if err := m.await(ctx, func() (bool, error) { return m.leading != nil, nil }); err != nil {
		t.Fatal(err)
	}
	if _, got, err := m.Propose(ctx, []byte("x")); string(got) != "x" || err != nil {
		t.Errorf("propose: got %q, %v, want %q", got, err, "x")
	}
	cancel()
	<-done
}
