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

func newConfiguration(t *testing.T, version uint64) *configuration.Configuration {
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

// fullUpdates returns the updates that transfer a full configuration.
func fullUpdates(c *configuration.Configuration) (updates []*wire.Update) {
	for part := range c.Chunks(200) {
		updates = append(updates, &wire.Update{Version: c.Version(), Sections: part})
	}
	return updates
}

// A truncated, inconsistent or outdated stream must not change the current and
// the stored configuration, and a restart must not load an older version.
func TestUpdates(t *testing.T) {
	v1, v2, v3 := newConfiguration(t, 1), newConfiguration(t, 2), newConfiguration(t, 3)
	p1, p2, p3 := fullUpdates(v1), fullUpdates(v2), fullUpdates(v3)
	change := &wire.Update{Version: 3, Replaces: 2, Sections: v3.Changes(v2)}
	for _, c := range []struct {
		name    string
		streams [][]*wire.Update
		want    []uint64 // versions applied
	}{
		{"whole", [][]*wire.Update{p1}, []uint64{1}},
		{"full configuration over an old one, then a change", [][]*wire.Update{p1, append(slices.Clone(p2), change)}, []uint64{1, 2, 3}},
		{"interrupted before the last part", [][]*wire.Update{p1, p2[:len(p2)-1]}, []uint64{1}},
		{"continued in another stream", [][]*wire.Update{p2[:3], p2[3:]}, nil},
		{"restarted in another stream", [][]*wire.Update{p2[:3], p2}, []uint64{2}},
		{"missing part", [][]*wire.Update{slices.Delete(slices.Clone(p2), 2, 3)}, nil},
		{"repeated part", [][]*wire.Update{slices.Insert(slices.Clone(p2), 2, p2[1])}, nil},
		{"parts of two versions", [][]*wire.Update{append(slices.Clone(p2[:3]), p3[3:]...)}, nil},
		{"holder behind", [][]*wire.Update{p3, p2, {{Version: 2}}, {{Version: 2, Replaces: 1, Sections: v2.Changes(v1)}}}, []uint64{3}},
		{"change based on another version", [][]*wire.Update{p1, {change}}, []uint64{1}},
		{"change without a section", [][]*wire.Update{p1, {{Version: 2, Replaces: 1}}}, []uint64{1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var used []uint64
			var updates []*wire.Update
			cfg := Config{Path: t.TempDir(), Holders: []string{"h"}, Apply: func(c *configuration.Configuration) {
				if n := len(used); n == 0 || used[n-1] != c.Version() { // a restart applies the stored one again
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
			s := newSubscriber(t, cfg, follow)
			for _, updates = range c.streams {
				s.watch(t.Context(), "h", true)
			}
			restarted := newSubscriber(t, cfg, follow)
			if restarted.Version() != s.Version() {
				t.Errorf("after a restart: got version %d, want %d", restarted.Version(), s.Version())
			}
			restarted.watch(t.Context(), "h", true) // repeat the last stream
			if !slices.Equal(used, c.want) {
				t.Errorf("applied versions: got %v, want %v", used, c.want)
			}
		})
	}
}

// A stream from another holder is closed to return to the nearest one, but not
// before a configuration that takes longer than that has been transferred.
func TestReturnsToNearestHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := newConfiguration(t, 1)
		s := newSubscriber(t, Config{Holders: []string{"home", "away"}, Apply: func(*configuration.Configuration) {}}, nil)
		s.cfg.Watch = func(ctx context.Context, _ string, _ *wire.WatchRequest, handle func(*wire.Update) error) (bool, error) {
			for _, u := range append(fullUpdates(want), &wire.Update{Version: 1}) {
				if err := handle(u); err != nil || ctx.Err() != nil {
					return true, err
				}
				time.Sleep(failbackInterval - time.Second)
			}
			t.Error("stream was not closed after failbackInterval")
			return true, nil
		}
		if s.watch(t.Context(), "away", false); s.Version() != 1 {
			t.Errorf("version: got %d, want 1", s.Version())
		}
		if got := s.Holders(); !slices.Equal(got, []string{"away", "home"}) {
			t.Errorf("holders: got %v, want the watched holder first", got)
		}
	})
}

func newSubscriber(t *testing.T, cfg Config, stream func(handle func(*wire.Update) error) error) *Subscriber {
	t.Helper()
	cfg.Name, cfg.Logger = "a1", zap.NewNop()
	cfg.Registry, cfg.Blocker = registry.New(registry.Config{}), blocker.New(blocker.Config{})
	cfg.Watch = func(_ context.Context, _ string, _ *wire.WatchRequest, handle func(*wire.Update) error) (bool, error) {
		return true, stream(handle)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
