package subscriber

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// failbackInterval is the age at which a stream from any holder but the
	// nearest is closed to retry the nearest one, unless a configuration is being
	// transferred on it.
	failbackInterval = 5 * time.Second
	// retryDelay is the delay before the holders are tried again.
	retryDelay = 200 * time.Millisecond
	// staleAfter is the age of the last update from a holder with a quorum beyond
	// which this instance is stale.
	staleAfter = 10 * time.Second
	fileName   = "configuration.toml"
)

// Config configures a Subscriber.
type Config struct {
	// Name and Zone identify this instance.
	Name, Zone string
	// Path is the data directory, or empty if the instance has no disk.
	Path string
	// Holders lists the names of all holders, nearest first.
	Holders []string
	// Watch passes the updates of one stream to handle until the stream ends. It
	// reports whether it received any.
	Watch func(ctx context.Context, holder string, request *wire.WatchRequest, handle func(*wire.Update) error) (bool, error)
	// Announce sends the state of a target to a holder.
	Announce func(ctx context.Context, holder string, request *wire.AnnounceRequest) (*wire.AnnounceReply, error)
	// Apply is called with each new configuration before Current returns it.
	Apply    func(*configuration.Configuration)
	Registry *registry.Registry
	Blocker  *blocker.Blocker
	Now      func() time.Time
	Logger   *zap.Logger
}

// Subscriber keeps the current configuration of this instance. It is safe for
// concurrent use.
type Subscriber struct {
	cfg        Config
	current    atomic.Pointer[configuration.Configuration]
	phase      atomic.Pointer[string]
	lastQuorum atomic.Int64 // time of the last update from a holder with a quorum

	// assemble adds parts to the configuration that the current stream is
	// transferring; it is nil if there is none. Only the goroutine of Run uses it.
	assemble func(part []*wire.Section) (*configuration.Configuration, error)

	mu      sync.Mutex
	watched string
	changed chan struct{}
}

// New returns a subscriber that starts with the stored configuration, if there
// is one.
func New(cfg Config) (*Subscriber, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Subscriber{cfg: cfg, changed: make(chan struct{})}
	phase := ""
	s.phase.Store(&phase)
	if cfg.Path == "" {
		return s, nil
	}
	text, err := os.ReadFile(filepath.Join(cfg.Path, fileName))
	if os.IsNotExist(err) {
		return s, nil
	}
	if err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "stored configuration: %v", err)
	}
	c, err := configuration.Parse(text)
	if err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "stored configuration: %v", err)
	}
	cfg.Apply(c)
	s.current.Store(c)
	return s, nil
}

// Current returns the current configuration, or nil if there is none yet.
func (s *Subscriber) Current() *configuration.Configuration { return s.current.Load() }

// Version returns the version of the current configuration, or 0.
func (s *Subscriber) Version() uint64 {
	if c := s.current.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// Phase returns the phase of the venture: open, dissolving, closed, or empty if
// no holder has sent it since the start.
func (s *Subscriber) Phase() string { return *s.phase.Load() }

// IsStale reports whether the last update from a holder with a quorum is older
// than staleAfter.
func (s *Subscriber) IsStale() bool {
	return s.cfg.Now().Sub(time.Unix(0, s.lastQuorum.Load())) > staleAfter
}

// IsSynced reports whether a holder has sent its state since the start.
func (s *Subscriber) IsSynced() bool { return s.Phase() != "" }

// Changed returns a channel that is closed when the configuration changes.
func (s *Subscriber) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Holders returns the names of the holders: the watched one first, then the
// others by distance.
func (s *Subscriber) Holders() []string {
	s.mu.Lock()
	watched := s.watched
	s.mu.Unlock()
	if watched == "" || watched == s.cfg.Holders[0] {
		return s.cfg.Holders
	}
	names := []string{watched}
	for _, h := range s.cfg.Holders {
		if h != watched {
			names = append(names, h)
		}
	}
	return names
}

// Announce records the state of a target in the registry and sends it to a
// holder, together with newly blocked contents. If t is nil, it sends only the
// blocked contents.
func (s *Subscriber) Announce(ctx context.Context, t *wire.Target) error {
	if t != nil {
		s.cfg.Registry.Announce(t)
	}
	request := &wire.AnnounceRequest{Target: t, Instance: s.cfg.Name, Poisons: s.cfg.Blocker.TakeChanges()}
	var err error
	for _, holder := range s.Holders() {
		if _, err = s.cfg.Announce(ctx, holder, request); err == nil {
			return nil
		}
	}
	s.cfg.Blocker.Restore(request.Poisons)
	return eris.Wrapf(err, "announce target %s", t.GetName())
}

// Run watches holders until ctx is done.
func (s *Subscriber) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for i, holder := range s.cfg.Holders {
			if s.watch(ctx, holder, i == 0) {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// watch reads one stream until it ends and reports whether the holder sent at
// least one update.
func (s *Subscriber) watch(ctx context.Context, holder string, nearest bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin, updated := s.cfg.Now(), false
	s.assemble = nil
	received, err := s.cfg.Watch(ctx, holder, &wire.WatchRequest{Instance: s.cfg.Name, Zone: s.cfg.Zone, Version: s.Version()}, func(u *wire.Update) error {
		if !updated {
			updated = true
			s.setWatched(holder)
		}
		err := s.apply(holder, u)
		if !nearest && s.assemble == nil && s.cfg.Now().Sub(begin) > failbackInterval {
			cancel()
		}
		return err
	})
	if err != nil {
		s.cfg.Logger.Error("applying update failed", zap.String("holder", holder), zap.Error(err))
	}
	return received
}

func (s *Subscriber) setWatched(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched != holder {
		s.cfg.Logger.Info("watching holder", zap.String("holder", holder))
	}
	s.watched = holder
}

func (s *Subscriber) apply(holder string, u *wire.Update) error {
	if u.Quorum {
		s.lastQuorum.Store(s.cfg.Now().UnixNano())
	}
	if u.Phase != "" {
		phase := u.Phase
		s.phase.Store(&phase)
	}
	if holder != s.cfg.Name { // on a holder, the publisher shares this registry
		if u.Snapshot {
			s.cfg.Registry.ReplaceRelayed("", u.Targets)
		}
		for _, t := range u.Targets {
			s.cfg.Registry.ApplyRelayed(t)
		}
		s.cfg.Blocker.Merge(u.Poisons)
	} else if u.Snapshot {
		s.cfg.Registry.ExpireRelayed(s.cfg.Zone)
	}
	current := s.Version()
	var next *configuration.Configuration
	var err error
	switch {
	case u.Version <= current:
		return nil
	case u.Replaces == current && current > 0:
		// A new version may leave all sections unchanged.
		next, err = s.Current().With(u.Sections, u.Version)
	case u.Replaces > 0:
		return eris.Wrapf(fault.Conflict, "update to version %d is based on version %d, want the current version %d", u.Version, u.Replaces, current)
	case len(u.Sections) > 0:
		next, err = s.addPart(u)
	}
	if err != nil || next == nil {
		return err
	}
	return s.install(next)
}

// addPart adds a part of a full configuration. It returns the configuration if
// the part is the last one, else nil.
func (s *Subscriber) addPart(u *wire.Update) (*configuration.Configuration, error) {
	if s.assemble == nil {
		s.assemble = configuration.Assemble(u.Version)
	}
	next, err := s.assemble(u.Sections)
	if next != nil {
		s.assemble = nil
	}
	return next, err
}

// install stores the configuration, if there is a disk, and then makes it the
// current one.
func (s *Subscriber) install(next *configuration.Configuration) error {
	if s.cfg.Path != "" {
		if err := writeFile(s.cfg.Path, next); err != nil {
			return eris.Wrapf(fault.Corrupt, "store configuration: %v", err)
		}
	}
	s.cfg.Apply(next)
	s.current.Store(next)
	s.cfg.Logger.Info("configuration applied", zap.Uint64("version", next.Version()))
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// writeFile atomically replaces the stored configuration and syncs it to disk.
func writeFile(dir string, c *configuration.Configuration) error {
	path := filepath.Join(dir, fileName)
	f, err := os.CreateTemp(dir, fileName)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }()
	w := bufio.NewWriter(f)
	if err := c.Print(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
