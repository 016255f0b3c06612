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

// testConfiguration returns a configuration with the given number of accounts. Each
// version changes the weight of one account in turn.
func testConfiguration(t *testing.T, version uint64, accounts int) *configuration.Configuration {
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

func newTestPublisher(t *testing.T, current **configuration.Configuration) *Publisher {
	return New(Config{
		Registry: registry.New(registry.Config{}), Blocker: blocker.New(blocker.Config{}),
		Read: func(_ context.Context, r *wire.ReadRequest) (*wire.ReadReply, error) {
			if r.Document {
				t.Error("update read the document, want it unread")
			}
			return &wire.ReadReply{Version: (*current).Version()}, nil
		},
		Configuration: func() *configuration.Configuration { return *current },
		Quorum:        func() bool { return true },
	})
}

// Printing the document for every update takes a whole core with thousands of
// accounts and a few watchers, so an update must not read it.
func TestUpdateDoesNotReadDocument(t *testing.T) {
	current := testConfiguration(t, 1, 1)
	p := newTestPublisher(t, &current)
	w := &watcher{first: true}
	update := func() *wire.Update {
		u, err := p.update(t.Context(), w)
		if err != nil {
			t.Fatal(err)
		}
		return u
	}
	if u := update(); len(u.Document) > 0 || u.Version != 1 || u.Replaces != 0 || !bytes.Equal(assemble(t, u).Digest(), current.Digest()) {
		t.Errorf("first update: got %d sections of version %d, want all of version 1", len(u.Sections), u.Version)
	}
	if u := update(); len(u.Document) > 0 || len(u.Sections) > 0 {
		t.Errorf("without a change: got a document of %d bytes, %d sections, want none", len(u.Document), len(u.Sections))
	}
	current = testConfiguration(t, 2, 1)
	if u := update(); len(u.Sections) != 1 || u.Replaces != 1 || u.Version != 2 {
		t.Errorf("after a change: got %d sections from %d to %d, want 1 from 1 to 2", len(u.Sections), u.Replaces, u.Version)
	}
}

// A large configuration in one message takes longer than a watcher waits before it
// considers the stream dead, so it would never arrive. Changes made while the parts
// are sent must follow them.
func TestConfigurationIsSentInParts(t *testing.T) {
	current := testConfiguration(t, 1, 5000)
	p, w := newTestPublisher(t, &current), &watcher{first: true}
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
		current = testConfiguration(t, min(current.Version()+1, 3), 5000)
	}
	last := len(updates) - 1
	if last < 3 {
		t.Fatalf("got %d updates, want several parts and a change", last+1)
	}
	got, err := assemble(t, updates[:last]...).With(updates[last].Sections, 3)
	if err != nil || updates[last].Replaces != 1 || len(updates[last].Sections) != 3 || !bytes.Equal(got.Digest(), current.Digest()) {
		t.Errorf("got error %v, %d sections since version %d, want version 3 by 3 sections since version 1", err, len(updates[last].Sections), updates[last].Replaces)
	}
}

// An instance that missed many changes must receive only these, or the full
// configuration if they are no longer retained.
func TestChangesSince(t *testing.T) {
	const versions = 60
	current := testConfiguration(t, 1, 20)
	p := newTestPublisher(t, &current)
	byVersion := map[uint64]*configuration.Configuration{}
	for v := uint64(1); v <= versions; v++ {
		current = testConfiguration(t, v, 20)
		byVersion[v] = current
		p.history.since(0, current)
	}
	for _, held := range []uint64{0, 1, 50, versions - 1, versions + 1} {
		w := &watcher{version: held}
		u, err := p.update(t.Context(), w)
		if err != nil {
			t.Fatal(err)
		}
		want := min(int(versions-held), 20) + 1 // each account once, plus the replaced version
		switch {
		case held == versions-1:
			want = 1
		case held > versions:
			want = 0
		case held == 0:
			want = len(current.Sections()) + 2 // plus the end section
		}
		if len(u.Sections) != want {
			t.Errorf("from version %d: got %d sections, want %d", held, len(u.Sections), want)
		}
		if u.Replaces == 0 {
			continue
		}
		if got, err := byVersion[held].With(u.Sections, u.Version); err != nil || !bytes.Equal(got.Digest(), current.Digest()) {
			t.Errorf("from version %d: got error %v or a different configuration", held, err)
		}
	}
	p.history.deltas = p.history.deltas[45:]
	u, err := p.update(t.Context(), &watcher{version: 30})
	if err != nil || u.Replaces != 0 || !bytes.Equal(assemble(t, u).Digest(), current.Digest()) {
		t.Errorf("from a version not retained: got error %v, changes since version %d, want the full configuration", err, u.Replaces)
	}
}

// After a restart, an instance must not send the full configuration to itself or to
// others that hold the configuration it had stored.
func TestChangesSinceRestart(t *testing.T) {
	current := testConfiguration(t, 3, 20)
	for _, c := range []struct{ stored, held, replaces uint64 }{{1, 1, 1}, {1, 2, 0}, {3, 1, 0}, {4, 1, 0}, {4, 4, 0}} {
		p := newTestPublisher(t, &current)
		cfg := p.cfg
		cfg.Stored = testConfiguration(t, c.stored, 20)
		u, err := New(cfg).update(t.Context(), &watcher{version: c.held})
		if err != nil || u.Replaces != c.replaces || (len(u.Sections) == 0) != (c.held == 4) {
			t.Errorf("stored %d, held %d: got error %v, %d sections since version %d, want since version %d", c.stored, c.held, err, len(u.Sections), u.Replaces, c.replaces)
		}
	}
}

// A large change must not be retained, since it would produce one large message and
// stay in memory.
func TestHistoryIsBounded(t *testing.T) {
	h := &history{}
	h.since(0, testConfiguration(t, 1, 14_000))
	h.since(0, testConfiguration(t, 14_001, 14_000))
	if _, _, ok := h.since(1, nil); ok || h.size != 0 {
		t.Errorf("got %d bytes retained, want none", h.size)
	}
}

func assemble(t *testing.T, updates ...*wire.Update) *configuration.Configuration {
	t.Helper()
	add := configuration.Assemble(updates[0].Version)
	for i, u := range updates {
		c, err := add(u.Sections)
		if err != nil || (c != nil) != (i == len(updates)-1) {
			t.Fatalf("update %d of %d: got a configuration: %v, error %v", i+1, len(updates), c != nil, err)
		}
		if c != nil {
			return c
		}
	}
	return nil
}
