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
	defaultHeartbeat = 100 * time.Millisecond
	defaultElection  = 500 * time.Millisecond
	// defaultSnapshotEvery bounds the entries that a restart applies again.
	defaultSnapshotEvery = 4096
	// defaultChunk keeps an Install call below the message limit of drpc.
	defaultChunk = 1 << 20
)

// Config configures a Replicator. Name, Members, Path, Apply, Snapshot and
// Restore are required, and the calls to peers if there is more than one
// member.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Members are the instance names of the first members, with Name. A new
	// log starts once all of them are up.
	Members []string
	// Join is set where the folder, if it is new, must not found a log: it
	// joins the one that the instances of Contacts know. Members may be empty.
	Join bool
	// Seeds returns further instances that may know the leader; nil for
	// none.
	Seeds func() []string
	// VoterCount is the number of voters that the leader reaches by giving votes
	// to instances that ask to join; 0 keeps the number of the first members.
	VoterCount int
	// ReplaceAfter is the silence after which an instance of another name may take
	// the place of a voter; 0 for never.
	ReplaceAfter time.Duration
	// Path is the folder of the journal and the ballot.
	Path string

	// Apply applies a committed command. It is called in the order of the
	// log, by one goroutine, and must be deterministic.
	Apply func(index uint64, command []byte) []byte
	// Snapshot returns the state; it is called by the goroutine of Apply.
	Snapshot func() []byte
	// Restore replaces the state; it is called by New or by the goroutine of
	// Apply.
	Restore func(state []byte) error

	// Vote, Append and Install call the named instance.
	Vote    func(ctx context.Context, peer string, q *wire.VoteRequest) (*wire.VoteReply, error)
	Append  func(ctx context.Context, peer string, q *wire.AppendRequest) (*wire.AppendReply, error)
	Install func(ctx context.Context, peer string, q *wire.InstallRequest) (*wire.InstallReply, error)

	// Now and After replace the clock.
	Now   func() time.Time
	After func(time.Duration) <-chan time.Time
	// Random returns 64 random bits for timeouts and folder identities.
	Random func() uint64
	// Journal opens the journal of the entries.
	Journal func(path string) (*journal.Journal, error)
	// Load and Store read the ballot file and replace it durably. Load
	// returns fs.ErrNotExist if there is none.
	Load   func(path string) ([]byte, error)
	Store  func(path string, data []byte) error
	Logger *zap.Logger

	// HeartbeatInterval is the longest pause between messages of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest election timeout; the longest is twice that.
	ElectionTimeout time.Duration
	// SnapshotEvery is the number of applied entries between snapshots.
	SnapshotEvery uint64
	// ChunkSize is the size in bytes of the parts of a snapshot that is sent.
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
		c.Load = load
	}
	if c.Store == nil {
		c.Store = store
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeat
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElection
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.ChunkSize == 0 {
		c.ChunkSize = defaultChunk
	}
	return c
}
