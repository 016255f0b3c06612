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
	temporary    = ".new"
	// readBytes bounds the records that one Read returns, below the 4 MiB
	// that drpc accepts as one message.
	readBytes = 1 << 20
)

// Config configures a Journal.
type Config struct {
	// Path is the folder of the journal. It is created if it doesn't exist.
	Path string
	// Logger gets reports about cut tails and failures; nil for none.
	Logger *zap.Logger

	// The seams replace operations on files. Nil is the operation of the
	// system. Sync is called for files and for folders.
	Write  func(f *os.File, data []byte) (int, error)
	Sync   func(f *os.File) error
	Rename func(from, to string) error
}

// Journal is an append-only sequence of records with a snapshot of the state
// before them. It is safe for concurrent use. After a failed write or sync it
// refuses everything but reads, since the system may have dropped the data.
type Journal struct {
	cfg Config

	// writing is held during writes to the files, and is taken before mu.
	writing sync.Mutex

	mu         sync.Mutex
	file       *os.File
	frames     []frame
	size       int64
	base       uint64 // position of the first frame of the file
	first      uint64
	next       uint64
	generation uint64
	snapshot   []byte
	pending    *batch
	flying     *batch
	failed     error
	torn       int64
}

// Open opens the journal in the folder, or creates an empty one. A torn tail
// is cut off, logged, and counted by Torn. The error wraps fault.Corrupt if
// synced data is damaged.
func Open(cfg Config) (*Journal, error) {
	j := &Journal{cfg: cfg.withDefaults()}
	if err := os.MkdirAll(cfg.Path, 0o700); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "create journal: %v", err)
	}
	if err := j.syncFolder(filepath.Dir(cfg.Path)); err != nil {
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
// doesn't contain. The data is nil without a snapshot and must not be
// changed.
func (j *Journal) Snapshot() (data []byte, position uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.snapshot, j.first
}

// First returns the first position that can be read.
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

// Size returns the bytes of the log file.
func (j *Journal) Size() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size
}

// TornBytes returns the number of bytes that Open cut off as an unsynced tail.
func (j *Journal) TornBytes() int64 { return j.torn }

// Read returns at most limit durable records from the position on. It returns
// fewer if they exceed 1 MiB, but at least one if there is one. The error
// wraps fault.Missing if the position lies before First or after Next.
func (j *Journal) Read(position uint64, limit int) ([][]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if position < j.first || position > j.next {
		return nil, eris.Wrapf(fault.Missing, "position %d, journal has %d to %d", position, j.first, j.next)
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
			if len(out) == limit || (len(out) > 0 && bytes+len(r) > readBytes) {
				return out, nil
			}
			out = append(out, r)
			bytes += len(r)
		}
		position = j.frames[i].end()
	}
	return out, nil
}

// Close waits for the append in progress and closes the file. Later calls
// fail with fault.Draining.
func (j *Journal) Close() error {
	j.writing.Lock()
	defer j.writing.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if errors.Is(j.failed, fault.Draining) {
		return nil
	}
	j.failed = eris.Wrap(fault.Draining, "journal is closed")
	return eris.Wrap(j.file.Close(), "close journal")
}

// fail makes the journal refuse all later changes and returns the error for
// them. The caller holds mu.
func (j *Journal) fail(err error) error {
	if j.failed == nil {
		j.failed = eris.Wrapf(fault.Corrupt, "journal %s: %v", j.cfg.Path, err)
		j.cfg.Logger.Error("Journal accepts nothing more.", zap.String("path", j.cfg.Path), zap.Error(err))
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
		return nil, eris.Wrapf(fault.Corrupt, "read position %d: checksum differs", f.position)
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

// loadLog reads the log, cuts off a torn tail and syncs the rest, because a
// process that crashed may have left valid frames unsynced.
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
		// A crash came between the two renames of Reset.
		return j.rewrite(j.first, nil)
	}
	frames, size, err := decodeFrames(data[fileHeader:], h.position)
	if err != nil {
		return err
	}
	j.base, j.next = h.position, h.position
	if len(frames) > 0 {
		j.next = frames[len(frames)-1].end()
	}
	if h.generation > j.generation || j.base > j.first || j.next < j.first {
		return eris.Wrapf(fault.Corrupt, "log has %d to %d, snapshot is before %d", j.base, j.next, j.first)
	}
	return j.openLog(data, frames, fileHeader+size)
}

func (j *Journal) openLog(data []byte, frames []frame, size int) error {
	if j.torn = int64(len(data) - size); j.torn > 0 {
		j.cfg.Logger.Warn("Torn tail cut off.", zap.String("path", j.cfg.Path),
			zap.Int64("bytes", j.torn), zap.Uint64("position", j.next))
		if j.replaceLog(data[:size], frames, j.base, j.next) == nil {
			return nil
		}
		// A disk that is still full takes no new file, but the old one can be
		// shortened. Then the process starts, and the next append fails.
		if err := os.Truncate(j.path(logName), int64(size)); err != nil {
			return eris.Wrapf(fault.Corrupt, "cut off the torn tail: %v", err)
		}
	}
	file, err := os.OpenFile(j.path(logName), os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "open: %v", err)
	}
	j.file, j.frames, j.size = file, frames, int64(size)
	if err := j.cfg.Sync(file); err != nil {
		return eris.Wrapf(fault.Corrupt, "sync: %v", err)
	}
	return j.syncFolder(j.cfg.Path)
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
