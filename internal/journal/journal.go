package journal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	tempSuffix   = ".new"
	// maxReadBytes limits the records that one Read returns. It is below the
	// 4 MiB limit of a drpc message.
	maxReadBytes = 1 << 20
)

// Config configures a Journal.
type Config struct {
	// Path is the directory of the journal. Open creates it if necessary.
	Path string
	// Logger logs truncated tails and failures. Nil disables logging.
	Logger *zap.Logger

	// Write, Sync and Rename replace the file operations of package os, which
	// are the default. Sync is called for files and directories.
	Write  func(f *os.File, data []byte) (int, error)
	Sync   func(f *os.File) error
	Rename func(from, to string) error
}

// Journal is an append-only sequence of records with a snapshot of the state
// before them. It is safe for concurrent use. After a failed write or sync it
// only allows reads, since the operating system may have dropped dirty pages,
// until Recover succeeds.
type Journal struct {
	cfg Config

	// writeMu is held while files are written. It is locked before mu.
	writeMu sync.Mutex

	mu         sync.Mutex
	file       *os.File
	frames     []frame
	size       int64
	base       uint64 // position of the first frame in the log
	first      uint64
	next       uint64
	generation uint64
	// logGeneration is the generation of the log. It is lower than that of the
	// snapshot if a Reset failed halfway.
	logGeneration uint64
	snapshot      []byte
	pending       *batch
	syncing       *batch
	failed        error
	tornBytes     int64
}

// Open opens the journal in cfg.Path or creates an empty one. It truncates and
// logs a torn tail, whose size TornBytes returns. The error wraps
// fault.Corrupt if synced data is damaged.
func Open(cfg Config) (*Journal, error) {
	j := &Journal{cfg: cfg.withDefaults()}
	if err := os.MkdirAll(cfg.Path, 0o700); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "create journal: %v", err)
	}
	if err := j.syncDir(filepath.Dir(cfg.Path)); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "create journal: %v", err)
	}
	if err := j.loadSnapshot(); err != nil {
		return nil, eris.Wrapf(err, "journal %s: snapshot", cfg.Path)
	}
	if err := j.loadLog(); err != nil {
		if j.file != nil {
			_ = j.file.Close()
		}
		return nil, eris.Wrapf(err, "journal %s: log", cfg.Path)
	}
	return j, nil
}

// Snapshot returns the snapshot and the position of the first record that it
// doesn't cover. The data is nil if there is no snapshot. The caller must not
// modify it.
func (j *Journal) Snapshot() (data []byte, position uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.snapshot, j.first
}

// First returns the position of the first readable record.
func (j *Journal) First() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.first
}

// Next returns the position after the last durable record.
func (j *Journal) Next() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.next
}

// Size returns the size of the log file in bytes.
func (j *Journal) Size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size
}

// TornBytes returns the size of the unsynced tail that Open truncated.
func (j *Journal) TornBytes() int64 { return j.tornBytes }

// Read returns up to limit durable records starting at the position. It stops
// before the records exceed 1 MiB, but returns at least one if there is one.
// The error wraps fault.Missing if the position is before First or after Next.
func (j *Journal) Read(position uint64, limit int) ([][]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if position < j.first || position > j.next {
		return nil, eris.Wrapf(fault.Missing, "position %d is out of range, want %d to %d", position, j.first, j.next)
	}
	var out [][]byte
	bytes := 0
	i := sort.Search(len(j.frames), func(i int) bool { return j.frames[i].end() > position })
	for ; i < len(j.frames) && len(out) < limit; i++ {
		records, err := j.readFrame(j.frames[i])
		if err != nil {
			return nil, err
		}
		for _, r := range records[position-j.frames[i].position:] {
			if len(out) == limit || (len(out) > 0 && bytes+len(r) > maxReadBytes) {
				return out, nil
			}
			out = append(out, r)
			bytes += len(r)
		}
		position = j.frames[i].end()
	}
	return out, nil
}

// Close waits for the append in progress and closes the log. Later changes
// fail with fault.Draining.
func (j *Journal) Close() error {
	j.writeMu.Lock()
	defer j.writeMu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if errors.Is(j.failed, fault.Draining) {
		return nil
	}
	j.failed = eris.Wrap(fault.Draining, "journal is closed")
	return eris.Wrap(j.file.Close(), "close journal")
}

// fail makes the journal refuse all further changes and returns the error that
// they get. The caller holds mu.
func (j *Journal) fail(err error) error {
	if j.failed == nil {
		j.failed = eris.Wrapf(fault.Corrupt, "journal %s: %v", j.cfg.Path, err)
		j.cfg.Logger.Error("journal failed, refusing further changes", zap.String("path", j.cfg.Path), zap.Error(err))
	}
	return j.failed
}

// readFrame reads the records of a frame from the file. The caller holds mu.
func (j *Journal) readFrame(f frame) ([][]byte, error) {
	data := make([]byte, f.size)
	if _, err := j.file.ReadAt(data, f.offset); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "read position %d: %v", f.position, err)
	}
	got, records, ok := decodeFrame(data)
	if !ok || got.position != f.position {
		return nil, eris.Wrapf(fault.Corrupt, "read position %d: frame is damaged", f.position)
	}
	return records, nil
}

func (j *Journal) path(name string) string { return filepath.Join(j.cfg.Path, name) }

func (j *Journal) loadSnapshot() error {
	data, err := os.ReadFile(j.path(snapshotName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "read: %v", err)
	}
	h, data, err := decodeFile(snapshotMagic, data)
	if err != nil {
		return err
	}
	j.snapshot, j.first, j.generation = data, h.position, h.generation
	return nil
}

// loadLog reads the log, truncates a torn tail and syncs the rest, because a
// crashed process may have left valid frames unsynced.
func (j *Journal) loadLog() error {
	data, err := os.ReadFile(j.path(logName))
	if errors.Is(err, fs.ErrNotExist) && j.snapshot == nil {
		return j.rewrite(0, nil)
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "read: %v", err)
	}
	h, _, err := decodeFile(logMagic, data)
	if err != nil {
		return err
	}
	if h.generation < j.generation {
		// The process crashed between the two renames of Reset.
		return j.rewrite(j.first, nil)
	}
	frames, size, err := decodeFrames(data[fileHeaderSize:], h.position)
	if err != nil {
		return err
	}
	j.base, j.next = h.position, h.position
	if len(frames) > 0 {
		j.next = frames[len(frames)-1].end()
	}
	if h.generation > j.generation || j.base > j.first || j.next < j.first {
		return eris.Wrapf(fault.Corrupt, "log covers %d to %d, which doesn't match the snapshot before %d", j.base, j.next, j.first)
	}
	return j.openLog(data, frames, fileHeaderSize+size)
}

func (j *Journal) openLog(data []byte, frames []frame, size int) error {
	if j.tornBytes = int64(len(data) - size); j.tornBytes > 0 {
		j.cfg.Logger.Warn("torn tail truncated", zap.String("path", j.cfg.Path),
			zap.Int64("bytes", j.tornBytes), zap.Uint64("position", j.next))
		if j.replaceLog(data[:size], frames, j.base, j.next, 0) == nil {
			return nil
		}
		// On a full disk no new file can be written, but the old one can be
		// truncated. The process then starts, and the next append fails.
		if err := os.Truncate(j.path(logName), int64(size)); err != nil {
			return eris.Wrapf(fault.Corrupt, "truncate the torn tail: %v", err)
		}
	}
	file, err := os.OpenFile(j.path(logName), os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "open: %v", err)
	}
	j.file, j.frames, j.size, j.logGeneration = file, frames, int64(size), j.generation
	if err := j.cfg.Sync(file); err != nil {
		return eris.Wrapf(fault.Corrupt, "sync: %v", err)
	}
	return j.syncDir(j.cfg.Path)
}

func (cfg Config) withDefaults() Config {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Write == nil {
		cfg.Write = func(f *os.File, data []byte) (int, error) { return f.Write(data) }
	}
	if cfg.Sync == nil {
		cfg.Sync = func(f *os.File) error { return f.Sync() }
	}
	if cfg.Rename == nil {
		cfg.Rename = os.Rename
	}
	return cfg
}
