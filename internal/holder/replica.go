package holder

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

// maxFetchRecords limits the records of one Fetch reply; the journal limits
// their size.
const maxFetchRecords = 1024

// recoveryReserve is the space in bytes that a recovery needs beyond the
// records, so that the next records fit too. It is the most that one call brings.
const recoveryReserve = 1 << 20

// replica is the copy of another zone's journal. Records of a new epoch go to a
// standby journal until the sender has no more to send. They may differ from
// the records of the previous epoch at the same positions, whose copy must stay
// complete for a restore meanwhile.
type replica struct {
	path             string
	recoveryInterval time.Duration
	logger           *zap.Logger

	mu             sync.Mutex
	lastRecovery   int64 // time of the last attempt, in Unix nanoseconds
	state          state
	journals       [2]*journal.Journal
	lastComplete   int64  // time of the last call that confirmed a complete copy
	merged         uint64 // position before which bills are merged
	lastMergedTime int64  // time of the latest merged record

	// mergeFailed is set while merging fails, so that a ledger that rejects all
	// changes doesn't log this 20 times a second on a disk that may be full.
	// Only mergeAll uses it.
	mergeFailed bool
}

// state is stored in the file "state" of the replica.
type state struct {
	Front  int       // index of the active journal
	Epochs [2]uint64 // epoch of each journal; 0 if unused
}

// openReplica opens the copy of a zone's journal. Without create, it returns
// nil if there is none.
func openReplica(path string, create bool, cfg Config) (*replica, error) {
	r := &replica{path: path, recoveryInterval: cfg.RecoveryInterval, logger: cfg.Logger}
	data, err := os.ReadFile(filepath.Join(path, "state"))
	switch {
	case errors.Is(err, fs.ErrNotExist) && !create:
		return nil, nil
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, eris.Wrapf(fault.Corrupt, "read replica state: %v", err)
	default:
		if err := json.Unmarshal(data, &r.state); err != nil {
			return nil, eris.Wrapf(fault.Corrupt, "decode replica state: %v", err)
		}
	}
	for i, name := range []string{"0", "1"} {
		j, err := cfg.Journal(filepath.Join(path, name))
		if err != nil {
			r.close()
			return nil, err
		}
		r.journals[i] = j
	}
	return r, nil
}

func (r *replica) active() *journal.Journal { return r.journals[r.state.Front] }

// write stores the records of a request and returns the next expected position.
func (r *replica) write(request *wire.CopyRequest, now int64) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.recover(now); err != nil {
		return 0, err
	}
	j, err := r.journalFor(request.Epoch)
	if err != nil {
		return 0, err
	}
	if err := applySnapshot(j, request); err != nil {
		return 0, err
	}
	next := j.Next()
	if request.Position > next {
		return next, nil
	}
	if len(request.Records) == 0 && len(request.Snapshot) == 0 && request.Position == next {
		err := r.promote(request.Epoch)
		if err == nil {
			r.lastComplete = now
		}
		return next, err
	}
	if skip := next - request.Position; skip < uint64(len(request.Records)) {
		return j.Append(request.Records[skip:])
	}
	return next, nil
}

// recover makes journals that failed accept records again. Records that were not
// acknowledged are dropped, and the sender sends them again. The caller holds mu.
func (r *replica) recover(now int64) error {
	for _, j := range r.journals {
		err := j.Err()
		if err == nil {
			continue
		}
		if now-r.lastRecovery < r.recoveryInterval.Nanoseconds() {
			return err
		}
		r.lastRecovery = now
		if err := j.Recover(recoveryReserve); err != nil {
			return err
		}
		r.logger.Info("copy accepts records again", zap.String("path", r.path), zap.Uint64("position", j.Next()))
	}
	return nil
}

// journalFor returns the journal of the epoch. It resets the standby journal
// for a new epoch.
func (r *replica) journalFor(epoch uint64) (*journal.Journal, error) {
	active, standby := r.state.Front, 1-r.state.Front
	if epoch < r.state.Epochs[active] || epoch < r.state.Epochs[standby] {
		return nil, eris.Wrapf(fault.Fenced, "epoch %d has been superseded", epoch)
	}
	if epoch == r.state.Epochs[active] {
		return r.journals[active], nil
	}
	if epoch == r.state.Epochs[standby] {
		return r.journals[standby], nil
	}
	// Store the epoch last, so that a crash leaves no records of an earlier
	// epoch under it.
	if err := r.updateState(func(s *state) { s.Epochs[standby] = 0 }); err != nil {
		return nil, err
	}
	if err := r.journals[standby].Reset(nil, 0); err != nil {
		return nil, err
	}
	return r.journals[standby], r.updateState(func(s *state) { s.Epochs[standby] = epoch })
}

// promote makes the journal of the epoch the active one.
func (r *replica) promote(epoch uint64) error {
	standby := 1 - r.state.Front
	if epoch != r.state.Epochs[standby] {
		return nil
	}
	if err := r.updateState(func(s *state) { s.Front, s.Epochs[1-standby] = standby, 0 }); err != nil {
		return err
	}
	r.merged = 0
	r.logger.Info("copy of new epoch complete", zap.String("path", r.path), zap.Uint64("epoch", epoch), zap.Uint64("position", r.active().Next()))
	return nil
}

// updateState modifies the state and stores it durably.
func (r *replica) updateState(f func(*state)) error {
	s := r.state
	f(&s)
	data, err := json.Marshal(s)
	if err == nil {
		err = writeFileAtomic(filepath.Join(r.path, "state"), data)
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "store replica state: %v", err)
	}
	r.state = s
	return nil
}

// read serves a Fetch. A position past the end returns the end and no records.
func (r *replica) read(position uint64) (*wire.FetchReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := r.state.Front
	if r.state.Epochs[served] == 0 {
		// The first copy is useful before it is complete.
		served = 1 - served
	}
	if r.state.Epochs[served] == 0 {
		return nil, eris.Wrap(fault.Missing, "no copy")
	}
	j := r.journals[served]
	reply := &wire.FetchReply{Epoch: r.state.Epochs[served], Position: position, Contact: r.lastComplete}
	if position > j.Next() {
		reply.Position = j.Next()
		return reply, nil
	}
	if position < j.First() {
		reply.Snapshot, reply.Position = j.Snapshot()
	}
	var err error
	reply.Records, err = j.Read(reply.Position, maxFetchRecords)
	reply.More = reply.Position+uint64(len(reply.Records)) < j.Next()
	return reply, err
}

func (r *replica) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.journals {
		if j != nil {
			_ = j.Close()
		}
	}
}

// applySnapshot stores the snapshot of a request, if any. It replaces the
// records before its position.
func applySnapshot(j *journal.Journal, request *wire.CopyRequest) error {
	switch {
	case len(request.Snapshot) == 0 || request.Position <= j.First():
		return nil
	case request.Position > j.Next():
		return j.Reset(request.Snapshot, request.Position)
	default:
		return j.Compact(request.Snapshot, request.Position)
	}
}

// writeFileAtomic replaces a file so that it has either the old or the new
// content after a crash.
func writeFileAtomic(path string, data []byte) error {
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if e := file.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
