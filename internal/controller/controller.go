package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/wire"
)

// Phases of a venture.
const (
	// Open is the phase before dissolution.
	Open = "open"
	// Dissolving is the phase in which the zones release their tokens.
	Dissolving = "dissolving"
	// Closed is the phase after the final statement has been issued.
	Closed = "closed"
)

// Config configures a Controller.
type Config struct {
	// Replicate appends a command to the log and returns the result of Apply.
	// The error wraps fault.Isolated if this member is not the leader or has
	// no quorum.
	Replicate func(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	// Barrier waits until the state includes everything that was committed
	// before the call.
	Barrier func(ctx context.Context) error
	// Leader returns the name of the leader, or "" if it is unknown.
	Leader func() string
	// Status returns the term, commit index and voters of the log. It may be
	// nil.
	Status func() (term, commit uint64, voters []string)
	// Forward sends a proposal to the leader.
	Forward func(ctx context.Context, leader string, request *wire.ProposeRequest) (*wire.ProposeReply, error)
	// Zones lists all zones of the deployment. It is added to proposed
	// configurations, so that all members use the same list.
	Zones []string
	// Now returns the timestamp for proposals.
	Now func() time.Time
	// Logger receives invariant violations and, at debug level, committed
	// claims and outcomes.
	Logger *zap.Logger
}

// Controller is the state machine of the replicated log. It is safe for
// concurrent use.
type Controller struct {
	config Config

	mu      sync.RWMutex
	state   *state
	changed chan struct{}
}

// New returns a controller without a configuration.
func New(config Config) *Controller {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	return &Controller{config: config, state: newState(config.Logger), changed: make(chan struct{})}
}

// Apply applies one committed command and returns the encoded
// wire.ProposeReply.
func (c *Controller) Apply(index uint64, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	version, phase := c.state.version(), c.state.phase
	reply := c.state.apply(index, command)
	if c.state.version() != version || c.state.phase != phase {
		c.signal()
	}
	return encode(reply)
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (c *Controller) Snapshot() []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state.snapshot()
}

// Restore replaces the state with that of a snapshot. On an error, which wraps
// fault.Corrupt, the state is unchanged.
func (c *Controller) Restore(snapshot []byte) error {
	next, err := restore(snapshot, c.config.Logger)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = next
	c.signal()
	return nil
}

// Changed returns a channel that is closed when the version or the phase next
// changes.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Configuration returns the current configuration, or nil if there is none.
func (c *Controller) Configuration() *configuration.Configuration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state.current
}

// Phase returns the phase of the venture.
func (c *Controller) Phase() string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state.phase
}

// signal wakes all goroutines that wait on Changed.
func (c *Controller) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// encode returns the deterministic encoding of m.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Only text that isn't UTF-8 fails to encode. The messages are built in
		// this package, and apply rejects commands that contain such text.
		panic("controller: " + err.Error())
	}
	return b
}
