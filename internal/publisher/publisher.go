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
	// keepalive is the longest time between two updates on a stream. Watchers
	// take a stream without an update for three times as long for dead.
	keepalive = time.Second
	// coalesce is the least time between two updates.
	coalesce = 50 * time.Millisecond
	// partBytes is the size of the parts in which a whole configuration is
	// sent. A watcher gets many of them within the 3 s after which it takes a
	// stream for dead, and holds no more than one beside what it has decoded.
	partBytes = 256 << 10
)

// Config configures a Publisher.
type Config struct {
	// Zone is the zone of the holder.
	Zone     string
	Registry *registry.Registry
	Blocker  *blocker.Blocker
	// Read reads the state of the local controller.
	Read func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
	// Configuration returns the configuration in force at the local
	// controller, or nil. Reading its document instead would print and parse
	// it, which takes more than 100 ms with thousands of accounts.
	Configuration func() *configuration.Configuration
	// Stored is the configuration that this instance had in force when it was
	// started, or nil. Watchers that hold it get the changes since.
	Stored *configuration.Configuration
	// Changed returns a channel that is closed at the next change of the
	// configuration or the phase.
	Changed func() <-chan struct{}
	// Peers returns the known instances.
	Peers func() []*wire.Peer
	// Quorum tells whether the local control member hears a leader.
	Quorum func() bool
	// Now returns the current time.
	Now func() time.Time
	// Logger takes the log of this part.
	Logger *zap.Logger
}

// Publisher serves the watch streams of a holder.
type Publisher struct {
	cfg     Config
	history history
}

// New returns a publisher.
func New(cfg Config) *Publisher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	p := &Publisher{cfg: cfg}
	p.history.add(cfg.Stored)
	return p
}

// Announce takes the state of a target that an entry instance passes on.
func (p *Publisher) Announce(_ context.Context, r *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if r.Target != nil {
		p.cfg.Registry.Announce(r.Target)
	}
	p.cfg.Blocker.Merge(r.Poisons)
	return &wire.AnnounceReply{}, nil
}

// Watch streams updates until the stream ends.
func (p *Publisher) Watch(r *wire.WatchRequest, stream wire.DRPCFleet_WatchStream) error {
	ctx := stream.Context()
	w := &watcher{version: r.Version, first: true}
	defer w.end()
	if r.Local {
		w.zone, w.version = p.cfg.Zone, math.MaxUint64
	}
	tick := time.NewTicker(keepalive)
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
		if w.next != nil {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-w.targets:
		case <-w.contents:
		case <-tick.C:
		}
		time.Sleep(coalesce)
	}
}

// watcher is the progress of one stream.
type watcher struct {
	zone     string // restricts the targets, if set
	version  uint64
	sequence uint64
	first    bool
	poisons  uint64
	// targets and contents are closed at the next change of a target and of a
	// blocked content.
	targets, contents <-chan struct{}
	// next returns the next part of the whole configuration of the version
	// coming. It is nil if none is under way.
	next   func() (part []*wire.Section, last, ok bool)
	stop   func()
	coming uint64
}

// begin starts to send a whole configuration.
func (w *watcher) begin(c *configuration.Configuration) {
	w.next, w.stop = iter.Pull2(c.Chunks(partBytes))
	w.coming = c.Version()
}

func (w *watcher) end() {
	if w.stop != nil {
		w.stop()
	}
	w.next, w.stop = nil, nil
}

// update returns what has changed for a watcher.
func (p *Publisher) update(ctx context.Context, w *watcher) (*wire.Update, error) {
	state, err := p.cfg.Read(ctx, &wire.ReadRequest{Stale: true})
	if err != nil {
		return nil, err
	}
	u := &wire.Update{Version: state.Version, Phase: state.Phase, Time: p.cfg.Now().UnixNano(), Quorum: p.cfg.Quorum()}
	if state.Version > w.version {
		p.fill(u, w)
	}
	targets, sequence, changed := p.cfg.Registry.Since(w.zone, w.sequence)
	w.targets = changed
	if w.first {
		targets = slices.DeleteFunc(targets, func(t *wire.Target) bool { return t.State == registry.Gone })
		u.Snapshot = true
		w.first = false
	}
	u.Targets = targets
	w.sequence = sequence
	u.Poisons, w.poisons, w.contents = p.cfg.Blocker.ChangesSince(w.poisons)
	return u, nil
}

// fill adds the changed sections if all changes since the version of the
// watcher are kept, else the next part of the whole configuration. A
// configuration that is under way is sent to its end, whatever changes.
func (p *Publisher) fill(u *wire.Update, w *watcher) {
	if w.next == nil {
		current, sections, ok := p.history.since(w.version, p.cfg.Configuration())
		if current == nil {
			return
		}
		if ok {
			u.Version, u.Replaces, u.Sections = current.Version(), w.version, sections
			w.version = u.Version
			return
		}
		w.begin(current)
	}
	part, last, _ := w.next()
	u.Version, u.Sections = w.coming, part
	if last {
		w.version = w.coming
		w.end()
	}
}

// List returns the instances and the targets that this holder knows.
func (p *Publisher) List(context.Context, *wire.ListRequest) (*wire.ListReply, error) {
	targets, _, _ := p.cfg.Registry.Since("", 0)
	return &wire.ListReply{Peers: p.cfg.Peers(), Targets: targets}, nil
}
