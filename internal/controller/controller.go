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
	// Open is the phase until the dissolution.
	Open = "open"
	// Dissolving is the phase in which the zones give back their rights.
	Dissolving = "dissolving"
	// Closed is the phase after the final statement.
	Closed = "closed"
)

// Config holds the seams of a controller.
type Config struct {
	// Replicate appends a command to the log and returns the result of Apply.
	// Its error wraps fault.Isolated if this member is not the leader or has
	// no quorum.
	Replicate func(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	// Barrier returns when the state is at least as new as its call.
	Barrier func(ctx context.Context) error
	// Leader returns the name of the leader, or "" if it is not known.
	Leader func() string
	// Status returns the term, the commit index and the voters of the log. It
	// may be nil.
	Status func() (term, commit uint64, voters []string)
	// Forward sends a proposal to the leader.
	Forward func(ctx context.Context, leader string, request *wire.ProposeRequest) (*wire.ProposeReply, error)
	// Zones are all zones of the fleet; proposals of configurations carry
	// them to all members.
	Zones []string
	// Now returns the time that proposals carry.
	Now func() time.Time
	// Logger logs violated invariants.
	Logger *zap.Logger
}

// Controller is the state over the log. Its methods may be called
// concurrently.
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

// Apply changes the state by one command of the log and returns the encoded
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

// Snapshot returns the state. Equal states give equal bytes.
func (c *Controller) Snapshot() []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state.snapshot()
}

// Restore replaces the state by that of a snapshot. The error wraps
// fault.Corrupt and leaves the state as it was.
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

// Changed returns a channel that is closed at the next change of version or
// phase.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Configuration returns the configuration in force, or nil if there is none.
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

// signal wakes those who wait for a change.
func (c *Controller) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// encode returns the deterministic encoding of a message.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// The messages are built here; only text that isn't UTF-8 fails, and
		// apply refuses commands that hold such text.
		panic("controller: " + err.Error())
	}
	return b
}
