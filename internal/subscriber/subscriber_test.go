package subscriber

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

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
	v := venture.New("wondimu", start, start.AddDate(1, 0, 0)).WithVersion(version, version-1)
	for i := range 9 {
		v = v.WithAccounts(account.New(fmt.Sprintf("a%d", i), 1000).WithWeight(int64(version)))
	}
	c, err := configuration.Parse(printer.Text(v))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// parts returns the updates that bring a whole configuration.
func parts(c *configuration.Configuration) (updates []*wire.Update) {
	for part := range c.Chunks(200) {
		updates = append(updates, &wire.Update{Version: c.Version(), Sections: part})
	}
	return updates
}

// A stream that is cut, mixed up or behind must leave the configuration that
// is in force and stored, and a restart must not go back.
func TestUpdates(t *testing.T) {
	v1, v2, v3 := parsed(t, 1), parsed(t, 2), parsed(t, 3)
	p1, p2, p3 := parts(v1), parts(v2), parts(v3)
	change := &wire.Update{Version: 3, Replaces: 2, Sections: v3.Changes(v2)}
	for _, c := range []struct {
		name    string
		streams [][]*wire.Update
		want    []uint64 // versions put in force
	}{
		{"whole", [][]*wire.Update{p1}, []uint64{1}},
		{"whole over an old one, then a change", [][]*wire.Update{p1, append(slices.Clone(p2), change)}, []uint64{1, 2, 3}},
		{"cut before the last part", [][]*wire.Update{p1, p2[:len(p2)-1]}, []uint64{1}},
		{"goes on in another stream", [][]*wire.Update{p2[:3], p2[3:]}, nil},
		{"begins again in another stream", [][]*wire.Update{p2[:3], p2}, []uint64{2}},
		{"a part is missing", [][]*wire.Update{slices.Delete(slices.Clone(p2), 2, 3)}, nil},
		{"a part is repeated", [][]*wire.Update{slices.Insert(slices.Clone(p2), 2, p2[1])}, nil},
		{"parts of two versions", [][]*wire.Update{append(slices.Clone(p2[:3]), p3[3:]...)}, nil},
		{"holder behind", [][]*wire.Update{p3, p2, {{Version: 2}}, {{Version: 2, Replaces: 1, Sections: v2.Changes(v1)}}}, []uint64{3}},
		{"change of another version", [][]*wire.Update{p1, {change}}, []uint64{1}},
		{"change without a section", [][]*wire.Update{p1, {{Version: 2, Replaces: 1}}}, []uint64{1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var used []uint64
			var updates []*wire.Update
			cfg := Config{Path: t.TempDir(), Holders: []string{"h"}, Use: func(c *configuration.Configuration) {
				if n := len(used); n == 0 || used[n-1] != c.Version() { // a restart uses the stored one again
					used = append(used, c.Version())
				}
			}}
			follow := func(handle func(*wire.Update) error) error {
				for _, u := range updates {
					if err := handle(u); err != nil {
						return err
					}
				}
				return nil
			}
			s := subscribed(t, cfg, follow)
			for _, updates = range c.streams {
				s.watch(t.Context(), "h", true)
			}
			again := subscribed(t, cfg, follow)
			if again.Version() != s.Version() {
				t.Errorf("after a restart: got version %d, want %d", again.Version(), s.Version())
			}
			again.watch(t.Context(), "h", true) // the last stream again
			if !slices.Equal(used, c.want) {
				t.Errorf("in force: got %v, want %v", used, c.want)
			}
		})
	}
}

// A stream to a holder of another zone is ended to go home, but a
// configuration that takes longer than that must arrive.
func TestGoesHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := parsed(t, 1)
		s := subscribed(t, Config{Holders: []string{"home", "away"}, Use: func(*configuration.Configuration) {}}, nil)
		s.cfg.Follow = func(ctx context.Context, _ string, _ *wire.WatchRequest, handle func(*wire.Update) error) (bool, error) {
			for _, u := range append(parts(want), &wire.Update{Version: 1}) {
				if err := handle(u); err != nil || ctx.Err() != nil {
					return true, err
				}
				time.Sleep(homeInterval - time.Second)
			}
			t.Error("the stream was not ended")
			return true, nil
		}
		if s.watch(t.Context(), "away", false); s.Version() != 1 {
			t.Errorf("version: got %d, want 1", s.Version())
		}
		if got := s.Holders(); !slices.Equal(got, []string{"away", "home"}) {
			t.Errorf("holders: got %v, want the watched one first", got)
		}
	})
}

func subscribed(t *testing.T, cfg Config, stream func(handle func(*wire.Update) error) error) *Subscriber {
	t.Helper()
	cfg.Name, cfg.Logger = "a1", zap.NewNop()
	cfg.Registry, cfg.Blocker = registry.New(registry.Config{}), blocker.New(blocker.Config{})
	cfg.Follow = func(_ context.Context, _ string, _ *wire.WatchRequest, handle func(*wire.Update) error) (bool, error) {
		return true, stream(handle)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
