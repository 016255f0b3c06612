package publisher

import (
	"context"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

func parsed(t *testing.T, version uint64) *configuration.Configuration {
	t.Helper()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c, err := configuration.Parse(printer.Text(venture.New("wondimu", start, start.AddDate(1, 0, 0)).
		WithVersion(version, version-1).
		WithAccounts(account.New("a", 1000).WithKeys(account.Hash([]byte("saltsalt"), "a")).WithWeight(int64(version)))))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// An update that reads the document costs a core with thousands of accounts
// and a few watchers, since the document is printed each time.
func TestUpdateReadsNoDocument(t *testing.T) {
	current := parsed(t, 1)
	p := New(Config{
		Registry: registry.New(registry.Config{}), Blocker: blocker.New(blocker.Config{}),
		Read: func(_ context.Context, r *wire.ReadRequest) (*wire.ReadReply, error) {
			if r.Document {
				t.Error("the document is read")
			}
			return &wire.ReadReply{Version: current.Version()}, nil
		},
		Configuration: func() *configuration.Configuration { return current },
		Quorum:        func() bool { return true },
	})
	w := &watcher{first: true}
	update := func() *wire.Update {
		u, err := p.update(t.Context(), w)
		if err != nil {
			t.Fatal(err)
		}
		return u
	}
	if u := update(); len(u.Document) == 0 || u.Version != 1 {
		t.Errorf("first update: got version %d, %d bytes, want the document of version 1", u.Version, len(u.Document))
	}
	if u := update(); len(u.Document) > 0 || len(u.Sections) > 0 {
		t.Errorf("without a change: got %d bytes, %d sections, want none", len(u.Document), len(u.Sections))
	}
	current = parsed(t, 2)
	if u := update(); len(u.Sections) != 1 || u.Replaces != 1 || u.Version != 2 {
		t.Errorf("after a change: got %d sections from %d to %d, want 1 from 1 to 2", len(u.Sections), u.Replaces, u.Version)
	}
}
