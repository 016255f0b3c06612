package replicator

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	ballotFile = "ballot"
	// ballotMagic starts the ballot file. A CRC-32C of the encoded message
	// follows.
	ballotMagic      = "PPBALLOT"
	ballotHeaderSize = len(ballotMagic) + 4
	// commitSaveInterval limits how often the ballot is synced only to store
	// the commit index.
	commitSaveInterval = time.Second
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeBallot(b *wire.Ballot) ([]byte, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(b)
	if err != nil {
		return nil, eris.Wrap(err, "encode ballot")
	}
	data := append([]byte(ballotMagic), 0, 0, 0, 0)
	binary.BigEndian.PutUint32(data[len(ballotMagic):], crc32.Checksum(body, castagnoli))
	return append(data, body...), nil
}

func decodeBallot(data []byte) (*wire.Ballot, error) {
	if len(data) < ballotHeaderSize || !bytes.HasPrefix(data, []byte(ballotMagic)) {
		return nil, eris.Wrap(fault.Corrupt, "ballot: missing header")
	}
	body := data[ballotHeaderSize:]
	sum := binary.BigEndian.Uint32(data[len(ballotMagic):])
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, eris.Wrap(fault.Corrupt, "ballot: checksum mismatch")
	}
	b := &wire.Ballot{}
	if err := proto.Unmarshal(body, b); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "ballot: %v", err)
	}
	if b.Disk == "" || b.Started && b.Member == "" {
		return nil, eris.Wrap(fault.Corrupt, "ballot: missing disk or member identity")
	}
	return b, nil
}

// loadBallot reads the ballot file, or creates it in a new folder.
func (r *Replicator) loadBallot() error {
	path := filepath.Join(r.cfg.Path, ballotFile)
	data, err := r.cfg.Load(path)
	if err == nil {
		r.ballot, err = decodeBallot(data)
		return err
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrapf(fault.Corrupt, "ballot: %v", err)
	}
	if r.log.last() != 0 {
		return eris.Wrap(fault.Corrupt, "ballot: file is missing, but the journal has entries")
	}
	b := &wire.Ballot{Disk: fmt.Sprintf("%016x", r.cfg.Random())}
	if data, err = encodeBallot(b); err != nil {
		return err
	}
	if err := r.cfg.Store(path, data); err != nil {
		return eris.Wrapf(fault.Corrupt, "ballot: %v", err)
	}
	r.ballot = b
	return nil
}

// saveBallot stores b durably and makes it the current ballot. The caller
// holds diskMu.
func (r *Replicator) saveBallot(b *wire.Ballot) error {
	r.mu.Lock()
	old, failed := r.ballot, r.failed
	b.Commit = r.commit
	r.mu.Unlock()
	if failed != nil {
		return failed
	}
	if b.Term < old.Term || b.Term == old.Term && old.Vote != "" && b.Vote != old.Vote {
		return r.fail(eris.Wrapf(fault.Broken, "ballot: term %d with vote %q cannot follow term %d with vote %q", b.Term, b.Vote, old.Term, old.Vote))
	}
	if err := r.storeBallot(b); err != nil {
		return r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ballot = b
	if b.Term > old.Term {
		r.leader = ""
		r.stepDown("higher term")
	}
	return nil
}

// storeBallot writes the ballot file.
func (r *Replicator) storeBallot(b *wire.Ballot) error {
	data, err := encodeBallot(b)
	if err != nil {
		return err
	}
	if err := r.cfg.Store(filepath.Join(r.cfg.Path, ballotFile), data); err != nil {
		return storageError{eris.Wrapf(fault.Corrupt, "ballot: %v", err)}
	}
	return nil
}

// commitSaveLoop periodically stores the commit index, so that a member that
// restarts without a quorum can apply the entries it knew to be committed.
func (r *Replicator) commitSaveLoop(ctx context.Context) {
	for r.pause(ctx, commitSaveInterval, nil) {
		r.saveCommit()
	}
}

func (r *Replicator) saveCommit() {
	r.lockDisk()
	defer r.unlockDisk()
	b := r.copyBallot()
	r.mu.Lock()
	due := r.failed == nil && b.Started && r.commit > b.Commit
	r.mu.Unlock()
	if due {
		_ = r.saveBallot(b) // saveBallot stops the member on failure
	}
}

// adoptTerm moves to a higher term seen in a reply.
func (r *Replicator) adoptTerm(term uint64) {
	r.lockDisk()
	defer r.unlockDisk()
	if b := r.copyBallot(); term > b.Term {
		b.Term, b.Vote = term, ""
		_ = r.saveBallot(b)
	}
}

// copyBallot returns a copy of the current ballot.
func (r *Replicator) copyBallot() *wire.Ballot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return proto.CloneOf(r.ballot)
}

func readFile(path string) ([]byte, error) { return os.ReadFile(path) }

// replaceFile replaces a file atomically. It syncs the new content before the
// rename and the folder after it.
func replaceFile(path string, data []byte) error {
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
