package publisher

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

// parsed returns a configuration of as many accounts. Each version changes the
// weight of one in turn.
func parsed(t *testing.T, version uint64, accounts int) *configuration.Configuration {
	t.Helper()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	list := make([]account.Account, accounts)
	for i := range list {
		weight := (version + uint64(accounts-1-i)) / uint64(accounts)
		list[i] = account.New(fmt.Sprintf("a%05d", i), 1000).WithKeys(account.Hash([]byte("saltsalt"), fmt.Sprint(i))).WithWeight(int64(weight) + 1)
	}
	v := venture.New("wondimu", start, start.AddDate(1, 0, 0)).WithVersion(version, version-1).WithAccounts(list...)
	c, err := configuration.Parse(printer.Text(v))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func published(t *testing.T, current **configuration.Configuration) *Publisher {
	return New(Config{
		Registry: registry.New(registry.Config{}), Blocker: blocker.New(blocker.Config{}),
		Read: func(_ context.Context, r *wire.ReadRequest) (*wire.ReadReply, error) {
			if r.Document {
				t.Error("the document is read")
			}
			return &wire.ReadReply{Version: (*current).Version()}, nil
		},
		Configuration: func() *configuration.Configuration { return *current },
		Quorum:        func() bool { return true },
	})
}

// An update that reads the document costs a core with thousands of accounts
// and a few watchers, since the document is printed each time.
func TestUpdateReadsNoDocument(t *testing.T) {
	current := parsed(t, 1, 1)
	p := published(t, &current)
	w := &watcher{first: true}
	update := func() *wire.Update {
		u, err := p.update(t.Context(), w)
		if err != nil {
			t.Fatal(err)
		}
		return u
	}
	if u := update(); len(u.Document) > 0 || u.Version != 1 || u.Replaces != 0 || !bytes.Equal(assembled(t, u).Digest(), current.Digest()) {
		t.Errorf("first update: got %d sections of version %d, want all of version 1", len(u.Sections), u.Version)
	}
	if u := update(); len(u.Document) > 0 || len(u.Sections) > 0 {
		t.Errorf("without a change: got %d bytes, %d sections, want none", len(u.Document), len(u.Sections))
	}
	current = parsed(t, 2, 1)
	if u := update(); len(u.Sections) != 1 || u.Replaces != 1 || u.Version != 2 {
		t.Errorf("after a change: got %d sections from %d to %d, want 1 from 1 to 2", len(u.Sections), u.Replaces, u.Version)
	}
}

// One message with all of a large configuration takes longer than the silence
// after which a watcher gives up, so that it never arrives. What changes while
// the parts are sent must follow them.
func TestWholeConfigurationInParts(t *testing.T) {
	current := parsed(t, 1, 5000)
	p, w := published(t, &current), &watcher{first: true}
	var updates []*wire.Update
	for w.version < 3 {
		u, err := p.update(t.Context(), w)
		if err != nil {
			t.Fatal(err)
		}
		if size := proto.Size(u); size > 2*partBytes {
			t.Errorf("update: got %d bytes, want about %d", size, partBytes)
		}
		updates = append(updates, u)
		current = parsed(t, min(current.Version()+1, 3), 5000)
	}
	last := len(updates) - 1
	if last < 3 {
		t.Fatalf("got %d updates, want several parts and a change", last+1)
	}
	got, err := assembled(t, updates[:last]...).With(updates[last].Sections, 3)
	if err != nil || updates[last].Replaces != 1 || len(updates[last].Sections) != 3 || !bytes.Equal(got.Digest(), current.Digest()) {
		t.Errorf("got %v, %d sections on version %d, want version 3 from version 1 by 3 sections", err, len(updates[last].Sections), updates[last].Replaces)
	}
}

// An instance that was away for many changes must get these alone, and the
// whole configuration if they aren't kept.
func TestChangesSince(t *testing.T) {
	const versions = 60
	current := parsed(t, 1, 20)
	p := published(t, &current)
	old := map[uint64]*configuration.Configuration{}
	for v := uint64(1); v <= versions; v++ {
		current = parsed(t, v, 20)
		old[v] = current
		p.history.since(0, current)
	}
	for _, held := range []uint64{0, 1, 50, versions - 1, versions + 1} {
		w := &watcher{version: held}
		u, err := p.update(t.Context(), w)
		if err != nil {
			t.Fatal(err)
		}
		want := min(int(versions-held), 20) + 1 // each account once, and the version replaced
		switch {
		case held == versions-1:
			want = 1
		case held > versions:
			want = 0
		case held == 0:
			want = len(current.Sections()) + 2 // and the end
		}
		if len(u.Sections) != want {
			t.Errorf("from version %d: got %d sections, want %d", held, len(u.Sections), want)
		}
		if u.Replaces == 0 {
			continue
		}
		if got, err := old[held].With(u.Sections, u.Version); err != nil || !bytes.Equal(got.Digest(), current.Digest()) {
			t.Errorf("from version %d: got %v or another configuration", held, err)
		}
	}
	p.history.steps = p.history.steps[45:]
	u, err := p.update(t.Context(), &watcher{version: 30})
	if err != nil || u.Replaces != 0 || !bytes.Equal(assembled(t, u).Digest(), current.Digest()) {
		t.Errorf("from a version that is not kept: got %v, changes of version %d, want all", err, u.Replaces)
	}
}

// A holder that restarts must not send itself, and others that hold what it
// had stored, the whole configuration.
func TestChangesSinceRestart(t *testing.T) {
	current := parsed(t, 3, 20)
	for _, c := range []struct{ stored, held, replaces uint64 }{{1, 1, 1}, {1, 2, 0}, {3, 1, 0}, {4, 1, 0}, {4, 4, 0}} {
		p := published(t, &current)
		cfg := p.cfg
		cfg.Stored = parsed(t, c.stored, 20)
		u, err := New(cfg).update(t.Context(), &watcher{version: c.held})
		if err != nil || u.Replaces != c.replaces || (len(u.Sections) == 0) != (c.held == 4) {
			t.Errorf("stored %d, held %d: got %v, %d sections on version %d, want version %d", c.stored, c.held, err, len(u.Sections), u.Replaces, c.replaces)
		}
	}
}

// A large change would make one large message and stay in memory.
func TestKeptChangesAreBounded(t *testing.T) {
	h := &history{}
	h.since(0, parsed(t, 1, 14_000))
	h.since(0, parsed(t, 14_001, 14_000))
	if _, _, ok := h.since(1, nil); ok || h.size != 0 {
		t.Errorf("got %d bytes kept, want none", h.size)
	}
}

func assembled(t *testing.T, updates ...*wire.Update) *configuration.Configuration {
	t.Helper()
	add := configuration.Assemble(updates[0].Version)
	for i, u := range updates {
		c, err := add(u.Sections)
		if err != nil || (c != nil) != (i == len(updates)-1) {
			t.Fatalf("update %d of %d: got %v, %v", i+1, len(updates), c != nil, err)
		}
		if c != nil {
			return c
		}
	}
	return nil
}
