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
	// ballotMagic starts the file; a CRC-32C of the message follows.
	ballotMagic  = "PPBALLOT"
	ballotHeader = len(ballotMagic) + 4
	// keepEvery bounds the syncs that only store the commit index.
	keepEvery = time.Second
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
	if len(data) < ballotHeader || !bytes.HasPrefix(data, []byte(ballotMagic)) {
		return nil, eris.Wrap(fault.Corrupt, "ballot: no header")
	}
	body := data[ballotHeader:]
	sum := binary.BigEndian.Uint32(data[len(ballotMagic):])
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, eris.Wrap(fault.Corrupt, "ballot: checksum")
	}
	b := &wire.Ballot{}
	if err := proto.Unmarshal(body, b); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "ballot: %v", err)
	}
	if b.Disk == "" || b.Started && b.Member == "" {
		return nil, eris.Wrap(fault.Corrupt, "ballot: no identity")
	}
	return b, nil
}

// loadBallot reads the ballot of the folder, or writes that of a new folder.
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
		return eris.Wrap(fault.Corrupt, "ballot: missing beside a journal with entries")
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

// save stores a ballot and puts it in force. The caller holds disk.
func (r *Replicator) save(b *wire.Ballot) error {
	r.mu.Lock()
	old, failed := r.ballot, r.failed
	b.Commit = r.commit
	r.mu.Unlock()
	if failed != nil {
		return failed
	}
	if b.Term < old.Term || b.Term == old.Term && old.Vote != "" && b.Vote != old.Vote {
		return r.fail(eris.Wrapf(fault.Broken, "ballot: term %d vote %q after term %d vote %q", b.Term, b.Vote, old.Term, old.Vote))
	}
	data, err := encodeBallot(b)
	if err == nil {
		err = r.cfg.Store(filepath.Join(r.cfg.Path, ballotFile), data)
	}
	if err != nil {
		return r.fail(eris.Wrapf(fault.Corrupt, "ballot: %v", err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ballot = b
	if b.Term > old.Term {
		r.leader = ""
		r.stepDown("a higher term")
	}
	return nil
}

// keep stores the commit index now and then, so that a member that restarts
// without a quorum applies the entries that it knew to be committed.
func (r *Replicator) keep(ctx context.Context) {
	for r.pause(ctx, keepEvery, nil) {
		r.keepCommit()
	}
}

func (r *Replicator) keepCommit() {
	r.disk.Lock()
	defer r.disk.Unlock()
	b := r.vote()
	r.mu.Lock()
	due := r.failed == nil && b.Started && r.commit > b.Commit
	r.mu.Unlock()
	if due {
		_ = r.save(b) // a failure stops the member
	}
}

// adopt moves to a higher term seen in a reply.
func (r *Replicator) adopt(term uint64) {
	r.disk.Lock()
	defer r.disk.Unlock()
	if b := r.vote(); term > b.Term {
		b.Term, b.Vote = term, ""
		_ = r.save(b)
	}
}

// vote returns a copy of the ballot.
func (r *Replicator) vote() *wire.Ballot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return proto.CloneOf(r.ballot)
}

func load(path string) ([]byte, error) { return os.ReadFile(path) }

// store replaces a file: the new content is synced before the name refers to
// it, and the folder after.
func store(path string, data []byte) error {
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
