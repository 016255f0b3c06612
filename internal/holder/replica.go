package holder

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

// fetchRecords bounds the records of one Fetch reply; the journal bounds their
// size.
const fetchRecords = 1024

// replica is the copy of another zone's journal. Records of a new epoch go to
// a second journal until the sender has nothing more to send, because they may
// differ from the records of the epoch before at the same positions, and the
// copy in front must stay whole for a restore meanwhile.
type replica struct {
	path   string
	logger *zap.Logger

	mu       sync.Mutex
	state    state
	journals [2]*journal.Journal
	contact  int64  // time of the last call that said that the copy is whole
	merged   uint64 // position before which the bills were merged
	latest   int64  // time of the latest merged record

	// stalled is set while merging fails, so that a ledger that accepts nothing
	// more doesn't log it 20 times a second on a disk that may be full. Only
	// mergeAll uses it.
	stalled bool
}

// state is stored in the file "state" of the replica.
type state struct {
	Front  int       // journal that is served
	Epochs [2]uint64 // epoch per journal, 0 if it is unused
}

// openReplica opens the copy of a zone. Without create, it returns nil if
// there is none.
func openReplica(path string, create bool, logger *zap.Logger) (*replica, error) {
	r := &replica{path: path, logger: logger}
	data, err := os.ReadFile(filepath.Join(path, "state"))
	switch {
	case errors.Is(err, fs.ErrNotExist) && !create:
		return nil, nil
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, eris.Wrapf(fault.Corrupt, "read the state of the copy: %v", err)
	default:
		if err := json.Unmarshal(data, &r.state); err != nil {
			return nil, eris.Wrapf(fault.Corrupt, "state of the copy: %v", err)
		}
	}
	for i, name := range []string{"0", "1"} {
		j, err := journal.Open(journal.Config{Path: filepath.Join(path, name), Logger: logger})
		if err != nil {
			r.close()
			return nil, err
		}
		r.journals[i] = j
	}
	return r, nil
}

func (r *replica) front() *journal.Journal { return r.journals[r.state.Front] }

// write stores the records of a request and returns the next position
// expected.
func (r *replica) write(request *wire.CopyRequest, now int64) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, err := r.choose(request.Epoch)
	if err != nil {
		return 0, err
	}
	if err := snapshotInto(j, request); err != nil {
		return 0, err
	}
	next := j.Next()
	if request.Position > next {
		return next, nil
	}
	if len(request.Records) == 0 && len(request.Snapshot) == 0 && request.Position == next {
		err := r.promote(request.Epoch)
		if err == nil {
			r.contact = now
		}
		return next, err
	}
	if skip := next - request.Position; skip < uint64(len(request.Records)) {
		return j.Append(request.Records[skip:])
	}
	return next, nil
}

// choose returns the journal for the epoch, and prepares the one behind for a
// new epoch.
func (r *replica) choose(epoch uint64) (*journal.Journal, error) {
	front, back := r.state.Front, 1-r.state.Front
	if epoch < r.state.Epochs[front] || epoch < r.state.Epochs[back] {
		return nil, eris.Wrapf(fault.Fenced, "epoch %d has been replaced", epoch)
	}
	if epoch == r.state.Epochs[front] {
		return r.journals[front], nil
	}
	if epoch == r.state.Epochs[back] {
		return r.journals[back], nil
	}
	// The epoch is written last, so that a crash leaves no records of an
	// earlier epoch under it.
	if err := r.change(func(s *state) { s.Epochs[back] = 0 }); err != nil {
		return nil, err
	}
	if err := r.journals[back].Reset(nil, 0); err != nil {
		return nil, err
	}
	return r.journals[back], r.change(func(s *state) { s.Epochs[back] = epoch })
}

// promote makes the journal of the epoch the one in front.
func (r *replica) promote(epoch uint64) error {
	back := 1 - r.state.Front
	if epoch != r.state.Epochs[back] {
		return nil
	}
	if err := r.change(func(s *state) { s.Front, s.Epochs[1-back] = back, 0 }); err != nil {
		return err
	}
	r.merged = 0
	r.logger.Info("Copy of a new epoch is complete.", zap.String("path", r.path), zap.Uint64("epoch", epoch), zap.Uint64("position", r.front().Next()))
	return nil
}

// change stores a changed state durably.
func (r *replica) change(f func(*state)) error {
	s := r.state
	f(&s)
	data, err := json.Marshal(s)
	if err == nil {
		err = replaceFile(filepath.Join(r.path, "state"), data)
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "store the state of the copy: %v", err)
	}
	r.state = s
	return nil
}

// read answers a Fetch. A position behind the end returns the end and no
// records.
func (r *replica) read(position uint64) (*wire.FetchReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := r.state.Front
	if r.state.Epochs[served] == 0 {
		// The first copy is of use before it is complete.
		served = 1 - served
	}
	if r.state.Epochs[served] == 0 {
		return nil, eris.Wrap(fault.Missing, "no copy")
	}
	j := r.journals[served]
	reply := &wire.FetchReply{Epoch: r.state.Epochs[served], Position: position, Contact: r.contact}
	if position > j.Next() {
		reply.Position = j.Next()
		return reply, nil
	}
	if position < j.First() {
		reply.Snapshot, reply.Position = j.Snapshot()
	}
	var err error
	reply.Records, err = j.Read(reply.Position, fetchRecords)
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

// snapshotInto stores the snapshot of a request, if there is one. It replaces
// the records before its position.
func snapshotInto(j *journal.Journal, request *wire.CopyRequest) error {
	switch {
	case len(request.Snapshot) == 0 || request.Position <= j.First():
		return nil
	case request.Position > j.Next():
		return j.Reset(request.Snapshot, request.Position)
	default:
		return j.Compact(request.Snapshot, request.Position)
	}
}

// replaceFile writes a file so that it has the old or the new content after a
// crash.
func replaceFile(path string, data []byte) error {
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
	return syncFolder(filepath.Dir(path))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
