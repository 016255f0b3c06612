package publisher

import (
	"context"
	"iter"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// keepaliveInterval is the maximum time between two updates on a stream.
	// Watchers consider a stream dead after three such intervals without one.
	keepaliveInterval = time.Second
	// minUpdateInterval is the minimum time between two updates. Changes within
	// it are sent together.
	minUpdateInterval = 50 * time.Millisecond
	// partBytes is the approximate size of the parts in which a full
	// configuration is sent. A watcher receives many of them within the 3 s after
	// which it considers a stream dead, and buffers at most one besides what it
	// has decoded.
	partBytes = 256 << 10
)

// Config configures a Publisher.
type Config struct {
	// Zone is the zone of this instance.
	Zone     string
	Registry *registry.Registry
	Blocker  *blocker.Blocker
	// Read reads the state of the local controller.
	Read func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
	// Configuration returns the configuration in force at the local controller,
	// or nil. Reading its document instead would mean printing and parsing it,
	// which takes more than 100 ms with thousands of accounts.
	Configuration func() *configuration.Configuration
	// Stored is the configuration that this instance had in force at startup, or
	// nil. Watchers that hold it receive only the changes since.
	Stored *configuration.Configuration
	// Changed returns a channel that is closed at the next change of the
	// configuration or the phase.
	Changed func() <-chan struct{}
	// Peers returns the known instances.
	Peers func() []*wire.Peer
	// Quorum reports whether the local control member has a leader.
	Quorum func() bool
	// Now returns the current time.
	Now func() time.Time
	// Logger is the logger of the publisher.
	Logger *zap.Logger
}

// Publisher serves the watch streams of an instance.
type Publisher struct {
	cfg     Config
	history history
}

// New returns a Publisher.
func New(cfg Config) *Publisher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	p := &Publisher{cfg: cfg}
	p.history.add(cfg.Stored)
	return p
}

// Announce records the state of a target and the blocked contents that an entry
// instance forwards.
func (p *Publisher) Announce(_ context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if r.Target != nil {
		p.cfg.Registry.Announce(r.Target)
	}
	p.cfg.Blocker.Merge(r.Poisons)
	return &wire.AnnounceReply{}, nil
}

// Watch sends updates until the stream ends.
func (p *Publisher) Watch(r *wire.WatchRequest, stream wire.DRPCFleet_WatchStream) error {
	ctx := stream.Context()
	w := &watcher{version: r.Version, first: true}
	defer w.endTransfer()
	if r.Local {
		w.zone, w.version = p.cfg.Zone, math.MaxUint64
	}
	tick := time.NewTicker(keepaliveInterval)
	defer tick.Stop()
	for {
		changed := p.cfg.Changed()
		update, err := p.update(ctx, w)
		if err != nil {
			return err
		}
		if err := stream.Send(update); err != nil {
			return err
		}
		if w.nextPart != nil {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-w.targetsChanged:
		case <-w.contentsChanged:
		case <-tick.C:
		}
		time.Sleep(minUpdateInterval)
	}
}

// watcher is the state of one watch stream.
type watcher struct {
	zone            string // if set, restricts the targets to this zone
	version         uint64
	targetSequence  uint64
	first           bool
	contentSequence uint64
	// targetsChanged and contentsChanged are closed at the next change of a
	// target and of a blocked content.
	targetsChanged, contentsChanged <-chan struct{}
	// nextPart returns the next part of the full configuration of
	// transferVersion. It is nil if no transfer is in progress.
	nextPart        func() (part []*wire.Section, last, ok bool)
	stopParts       func()
	transferVersion uint64
}

// startTransfer starts sending a full configuration.
func (w *watcher) startTransfer(c *configuration.Configuration) {
	w.nextPart, w.stopParts = iter.Pull2(c.Chunks(partBytes))
	w.transferVersion = c.Version()
}

// endTransfer releases the iterator of a transfer, if any.
func (w *watcher) endTransfer() {
	if w.stopParts != nil {
		w.stopParts()
	}
	w.nextPart, w.stopParts = nil, nil
}

// update returns the changes since the last update of a watcher.
func (p *Publisher) update(ctx context.Context, w *watcher) (*wire.Update, error) {
	state, err := p.cfg.Read(ctx, &wire.ReadRequest{Stale: true})
	if err != nil {
		return nil, err
	}
	u := &wire.Update{Version: state.Version, Phase: state.Phase, Time: p.cfg.Now().UnixNano(), Quorum: p.cfg.Quorum()}
	if state.Version > w.version {
		p.addConfiguration(u, w)
	}
	targets, sequence, changed := p.cfg.Registry.ChangesSince(w.zone, w.targetSequence)
	w.targetsChanged = changed
	if w.first {
		targets = slices.DeleteFunc(targets, func(t *wire.Target) bool { return t.State == registry.Gone })
		u.Snapshot = true
		w.first = false
	}
	u.Targets = targets
	w.targetSequence = sequence
	u.Poisons, w.contentSequence, w.contentsChanged = p.cfg.Blocker.ChangesSince(w.contentSequence)
	return u, nil
}

// addConfiguration adds the changed sections if the history retains all changes since
// the watcher's version, otherwise the next part of the full configuration. A
// transfer in progress is always completed, even if the configuration changes.
func (p *Publisher) addConfiguration(u *wire.Update, w *watcher) {
	if w.nextPart == nil {
		current, sections, ok := p.history.since(w.version, p.cfg.Configuration())
		if current == nil {
			return
		}
		if ok {
			u.Version, u.Replaces, u.Sections = current.Version(), w.version, sections
			w.version = u.Version
			return
		}
		w.startTransfer(current)
	}
	part, last, _ := w.nextPart()
	u.Version, u.Sections = w.transferVersion, part
	if last {
		w.version = w.transferVersion
		w.endTransfer()
	}
}

// List returns the known instances and targets.
func (p *Publisher) List(context.Context, *wire.ListRequest) (*wire.ListReply, error) {
	targets, _, _ := p.cfg.Registry.ChangesSince("", 0)
	return &wire.ListReply{Peers: p.cfg.Peers(), Targets: targets}, nil
}
