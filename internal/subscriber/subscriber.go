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
	// homeInterval is the time after which a stream to a holder of another
	// zone is ended to try the nearest one again, unless a configuration is
	// under way on it.
	homeInterval = 5 * time.Second
	// retryDelay is the pause after all holders have failed.
	retryDelay = 200 * time.Millisecond
	// staleAfter is the age of the last word from a holder with a quorum after
	// which this instance counts as stale.
	staleAfter = 10 * time.Second
	fileName   = "configuration.toml"
)

// Config configures a Subscriber.
type Config struct {
	// Name and Zone are those of this instance.
	Name, Zone string
	// Path is the data folder, or empty if the instance has no disk.
	Path string
	// Holders are the names of all holders, the nearest first.
	Holders []string
	// Follow follows one stream until it ends.
	Follow func(ctx context.Context, holder string, request *wire.WatchRequest, handle func(*wire.Update) error) (bool, error)
	// Announce passes the state of a target on to a holder.
	Announce func(ctx context.Context, holder string, request *wire.AnnounceRequest) (*wire.AnnounceReply, error)
	// Use is called with each configuration before it counts as in force.
	Use      func(*configuration.Configuration)
	Registry *registry.Registry
	Blocker  *blocker.Blocker
	Now      func() time.Time
	Logger   *zap.Logger
}

// Subscriber holds the configuration in force on this instance. It is safe
// for concurrent use.
type Subscriber struct {
	cfg     Config
	current atomic.Pointer[configuration.Configuration]
	phase   atomic.Pointer[string]
	quorum  atomic.Int64 // time of the last update from a holder with a quorum

	// assemble takes the parts of the configuration that the present stream
	// is bringing, nil if none is. It is used by the goroutine of Run alone.
	assemble func(part []*wire.Section) (*configuration.Configuration, error)

	mu       sync.Mutex
	attached string
	changed  chan struct{}
}

// New returns a subscriber with the configuration that was stored last, if
// there is one.
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
	cfg.Use(c)
	s.current.Store(c)
	return s, nil
}

// Current returns the configuration in force here, or nil before the first.
func (s *Subscriber) Current() *configuration.Configuration { return s.current.Load() }

// Version returns the version of the configuration in force here, or 0.
func (s *Subscriber) Version() uint64 {
	if c := s.current.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// Phase returns the phase of the venture: open, dissolving, closed, or empty
// if no holder has told it since the start.
func (s *Subscriber) Phase() string { return *s.phase.Load() }

// IsStale tells whether no holder with a quorum has been heard lately.
func (s *Subscriber) IsStale() bool {
	return s.cfg.Now().Sub(time.Unix(0, s.quorum.Load())) > staleAfter
}

// IsSynced tells whether a holder has sent its state since the start.
func (s *Subscriber) IsSynced() bool { return s.Phase() != "" }

// Changed returns a channel that is closed at the next configuration.
func (s *Subscriber) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Holders returns the names of the holders, the one that is being watched
// first and the others in order of distance.
func (s *Subscriber) Holders() []string {
	s.mu.Lock()
	attached := s.attached
	s.mu.Unlock()
	if attached == "" || attached == s.cfg.Holders[0] {
		return s.cfg.Holders
	}
	names := []string{attached}
	for _, h := range s.cfg.Holders {
		if h != attached {
			names = append(names, h)
		}
	}
	return names
}

// Announce records the state of a target here and passes it on to the holder,
// together with newly blocked contents. Without a target it passes on the
// blocked contents alone.
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
	s.cfg.Blocker.Merge(request.Poisons)
	return eris.Wrapf(err, "announce target %s", t.GetName())
}

// Run watches holders until ctx ends.
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

// watch follows one stream until it ends, and reports whether the holder has
// sent at least one update.
func (s *Subscriber) watch(ctx context.Context, holder string, home bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin, attached := s.cfg.Now(), false
	s.assemble = nil
	received, err := s.cfg.Follow(ctx, holder, &wire.WatchRequest{Instance: s.cfg.Name, Zone: s.cfg.Zone, Version: s.Version()}, func(u *wire.Update) error {
		if !attached {
			attached = true
			s.attach(holder)
		}
		err := s.apply(holder, u)
		if !home && s.assemble == nil && s.cfg.Now().Sub(begin) > homeInterval {
			cancel()
		}
		return err
	})
	if err != nil {
		s.cfg.Logger.Error("Update can't be applied.", zap.String("holder", holder), zap.Error(err))
	}
	return received
}

func (s *Subscriber) attach(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attached != holder {
		s.cfg.Logger.Info("Watching holder.", zap.String("holder", holder))
	}
	s.attached = holder
}

func (s *Subscriber) apply(holder string, u *wire.Update) error {
	if u.Quorum {
		s.quorum.Store(s.cfg.Now().UnixNano())
	}
	if u.Phase != "" {
		phase := u.Phase
		s.phase.Store(&phase)
	}
	if holder != s.cfg.Name { // a holder shares its registry with its publisher
		if u.Snapshot {
			s.cfg.Registry.Replace("", u.Targets)
		}
		for _, t := range u.Targets {
			s.cfg.Registry.Pass(t)
		}
		s.cfg.Blocker.Merge(u.Poisons)
	} else if u.Snapshot {
		s.cfg.Registry.Adopt(s.cfg.Zone)
	}
	held := s.Version()
	var next *configuration.Configuration
	var err error
	switch {
	case u.Version <= held:
		return nil
	case u.Replaces == held && held > 0:
		// A new version may change no section at all.
		next, err = s.Current().With(u.Sections, u.Version)
	case u.Replaces > 0:
		return eris.Wrapf(fault.Conflict, "update to version %d builds on version %d, held is %d", u.Version, u.Replaces, held)
	case len(u.Sections) > 0:
		next, err = s.take(u)
	}
	if err != nil || next == nil {
		return err
	}
	return s.install(next)
}

// take takes a part of a whole configuration and returns the configuration
// with the last one, before that nil.
func (s *Subscriber) take(u *wire.Update) (*configuration.Configuration, error) {
	if s.assemble == nil {
		s.assemble = configuration.Assemble(u.Version)
	}
	next, err := s.assemble(u.Sections)
	if next != nil {
		s.assemble = nil
	}
	return next, err
}

// install makes a configuration durable, if there is a disk, and then puts it
// in force.
func (s *Subscriber) install(next *configuration.Configuration) error {
	if s.cfg.Path != "" {
		if err := writeFile(s.cfg.Path, next); err != nil {
			return eris.Wrapf(fault.Corrupt, "store configuration: %v", err)
		}
	}
	s.cfg.Use(next)
	s.current.Store(next)
	s.cfg.Logger.Info("Configuration in force.", zap.Uint64("version", next.Version()))
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// writeFile replaces the stored configuration atomically and syncs it.
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
