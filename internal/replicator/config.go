package replicator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultElectionTimeout   = 500 * time.Millisecond
	// defaultSnapshotEvery bounds the entries that are reapplied after a
	// restart.
	defaultSnapshotEvery = 4096
	// defaultChunkSize keeps an Install call below the drpc message limit.
	defaultChunkSize = 1 << 20
)

// Config configures a Replicator. Name, Members, Path, Apply, Snapshot and
// Restore are required, as are Vote, Append and Install if there is more than
// one member.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Members are the instance names of the initial members, including Name.
	// A new log starts only when all of them are up.
	Members []string
	// Join makes a new folder join the log known to Seeds instead of
	// bootstrapping its own. Members may then be empty.
	Join bool
	// Seeds returns additional instances that may know the leader. It may be
	// nil.
	Seeds func() []string
	// VoterCount is the number of voters up to which the leader promotes
	// instances that ask to join. If it is 0, the leader only replaces
	// voters.
	VoterCount int
	// ReplaceAfter is how long a voter must be silent before an instance with
	// another name may replace it. 0 means never.
	ReplaceAfter time.Duration
	// Path is the folder of the journal and the ballot file.
	Path string

	// Apply applies a committed command. One goroutine calls it in log order.
	// It must be deterministic.
	Apply func(index uint64, command []byte) []byte
	// Snapshot returns the current state. It runs in the goroutine that calls
	// Apply.
	Snapshot func() []byte
	// Restore replaces the state. New calls it, and later the goroutine that
	// calls Apply.
	Restore func(state []byte) error

	// Vote, Append and Install send the request to the named instance.
	Vote    func(ctx context.Context, peer string, q *wire.VoteRequest) (*wire.VoteReply, error)
	Append  func(ctx context.Context, peer string, q *wire.AppendRequest) (*wire.AppendReply, error)
	Install func(ctx context.Context, peer string, q *wire.InstallRequest) (*wire.InstallReply, error)

	// Now and After replace the system clock.
	Now   func() time.Time
	After func(time.Duration) <-chan time.Time
	// Random returns 64 random bits for election timeouts and disk
	// identities.
	Random func() uint64
	// Journal opens the journal that stores the entries.
	Journal func(path string) (*journal.Journal, error)
	// Load reads the ballot file and Store replaces it durably. Load returns
	// fs.ErrNotExist if there is no file.
	Load   func(path string) ([]byte, error)
	Store  func(path string, data []byte) error
	Logger *zap.Logger

	// HeartbeatInterval is the longest interval between messages from the
	// leader to a peer.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum election timeout. The maximum is twice
	// that.
	ElectionTimeout time.Duration
	// SnapshotEvery is the number of applied entries between snapshots.
	SnapshotEvery uint64
	// ChunkSize is the chunk size in bytes for sending snapshots.
	ChunkSize int
}

func (c Config) withDefaults() Config {
	c.Members = slices.Clone(c.Members) // the caller may change its slice
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.After == nil {
		c.After = time.After
	}
	if c.Random == nil {
		c.Random = rand.Uint64
	}
	if c.Journal == nil {
		c.Journal = func(path string) (*journal.Journal, error) {
			return journal.Open(journal.Config{Path: path})
		}
	}
	if c.Seeds == nil {
		c.Seeds = func() []string { return nil }
	}
	if c.Load == nil {
		c.Load = readFile
	}
	if c.Store == nil {
		c.Store = replaceFile
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.ChunkSize == 0 {
		c.ChunkSize = defaultChunkSize
	}
	return c
}
