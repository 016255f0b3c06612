package holder

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// restoreGracePeriod is how long a restore waits for unreachable holders if
	// another one has a copy.
	restoreGracePeriod = 10 * time.Second
	// maxConcurrentAligns limits the accounts aligned at once, which share
	// syncs.
	maxConcurrentAligns = 64
	// restoreInterval is the interval between attempts to restore.
	restoreInterval = 200 * time.Millisecond
)

// epochState is the content of the file "epoch". A restore removes the file
// before it writes the journal, and writes it before the epoch begins in the
// ledger. So the ledger opens without the replicated log only if the journal is
// complete.
type epochState struct {
	Epoch    uint64
	Contact  int64            // when the copy of the previous epoch was last complete, in Unix nanoseconds
	Handed   []string         // instances that have handed over their records since
	Assigned map[string]int64 // tokens per account assigned by the log at the epoch change; accounts are removed once aligned
}

// source is a copy of the zone's journal on another holder.
type source struct {
	holder       string
	epoch        uint64
	next         uint64
	lastComplete int64
}

// isBetterThan reports whether s is of a later epoch, longer, or as long and
// confirmed to be complete at a later time. The time decides which instances have
// to hand over their bills before stranded tokens become free.
func (s source) isBetterThan(other source) bool {
	return cmp.Or(cmp.Compare(s.epoch, other.epoch), cmp.Compare(s.next, other.next), cmp.Compare(s.lastComplete, other.lastComplete)) > 0
}

// openLedger opens the ledger from the journal if that is complete, and
// otherwise from the longest copy in a new epoch. It returns an error only when
// ctx ends.
func (h *Holder) openLedger(ctx context.Context) (*ledger.Ledger, error) {
	started := h.cfg.Now()
	for {
		l, err := h.reopen()
		if l == nil && err == nil {
			l, err = h.restore(ctx, h.cfg.Now().Sub(started))
		}
		if err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		h.cfg.Logger.Warn("failed to open ledger; retrying", zap.Error(err))
		sleep(ctx, restoreInterval)
	}
}

// reopen returns the ledger of the existing journal, or nil if it must be
// restored. An empty journal must be restored too, since it may have been lost.
func (h *Holder) reopen() (*ledger.Ledger, error) {
	data, err := os.ReadFile(h.epochPath())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var o epochState
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	if err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "read epoch state: %v", err)
	}
	if h.journal.Next() == 0 {
		return nil, nil
	}
	l, err := h.newLedger()
	if err != nil || l.Epoch() != o.Epoch {
		return nil, err
	}
	h.resume(l, o)
	return l, nil
}

// restore makes one attempt to open the ledger in a new epoch.
func (h *Holder) restore(ctx context.Context, waited time.Duration) (*ledger.Ledger, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.cfg.Read(call, &wire.ReadRequest{})
	if err == nil {
		err = reply.Fault.Err()
	}
	if err != nil {
		return nil, eris.Wrap(err, "read zone epoch from the replicated log")
	}
	known := reply.Epochs[h.cfg.Zone]
	if err := os.Remove(h.epochPath()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrapf(fault.Corrupt, "remove epoch state: %v", err)
	}
	if err := syncDir(h.cfg.Path); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "remove epoch state: %v", err)
	}
	var best source
	if known > 0 {
		if best, err = h.chooseSource(ctx, waited); err != nil {
			return nil, err
		}
	}
	if err := h.copyJournal(ctx, best); err != nil {
		return nil, eris.Wrapf(err, "restore from copy of %s", best.holder)
	}
	l, err := h.newLedger()
	if err != nil {
		return nil, err
	}
	return l, h.startEpoch(ctx, l, known, best)
}

// startEpoch commits the new epoch to the replicated log and begins it in the
// ledger.
func (h *Holder) startEpoch(ctx context.Context, l *ledger.Ledger, known uint64, best source) error {
	data, err := h.propose(ctx, &wire.Command{Change: &wire.Command_Epoch{Epoch: &wire.Epoch{
		Zone: h.cfg.Zone, Epoch: known, Instance: h.cfg.Name, Sequence: uint64(h.cfg.Now().UnixNano()),
	}}})
	if err != nil {
		return eris.Wrap(err, "propose new epoch")
	}
	result := &wire.EpochResult{}
	if err := proto.Unmarshal(data, result); err != nil {
		return eris.Wrapf(fault.Broken, "decode epoch result: %v", err)
	}
	o := epochState{Epoch: result.Epoch, Contact: best.lastComplete, Assigned: map[string]int64{}}
	if known > 0 {
		for _, t := range l.Tally("") {
			o.Assigned[t.Account] = 0
			if t.Stranded > 0 {
				// The handover of an earlier epoch isn't complete. Its copy,
				// now lost too, was last complete at an earlier time.
				o.Contact = 0
			}
		}
		for _, pool := range result.Pools {
			o.Assigned[pool.Account] = pool.Zones[h.cfg.Zone]
		}
	}
	if err := h.updateEpochState(func(present *epochState) { *present = o }); err != nil {
		return err
	}
	if err := l.BeginEpoch(result.Epoch); err != nil {
		return eris.Wrapf(err, "begin epoch %d", result.Epoch)
	}
	h.resume(l, o)
	if known > 0 {
		h.cfg.Logger.Warn("ledger restored", zap.Uint64("epoch", result.Epoch), zap.String("holder", best.holder), zap.Uint64("position", best.next))
	}
	return nil
}

// resume continues the work that remains after the start of an epoch.
func (h *Holder) resume(l *ledger.Ledger, o epochState) {
	h.handovers.reset(o.Contact, o.Handed)
	h.mu.Lock()
	h.epochState = o
	h.mu.Unlock()
	h.alignAll(l)
}

// alignAll aligns the granted tokens with the replicated log. The differences
// are grants and releases after the end of the copy. An account that first
// needs bills of another zone to be cancelled is retried after the next merge.
func (h *Holder) alignAll(l *ledger.Ledger) {
	h.mu.Lock()
	o := h.epochState
	h.mu.Unlock()
	if len(o.Assigned) == 0 {
		return
	}
	remaining := map[string]int64{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentAligns)
	for account, assigned := range o.Assigned {
		group.Go(func() error {
			err := l.Align(account, assigned)
			if err != nil && fault.Of(err) != fault.Broken {
				mu.Lock()
				defer mu.Unlock()
				remaining[account] = assigned
			}
			return nil
		})
	}
	_ = group.Wait()
	h.cfg.Logger.Info("ledger aligned with the replicated log", zap.Int("accounts", len(o.Assigned)), zap.Int("left", len(remaining)))
	if len(remaining) == len(o.Assigned) {
		return
	}
	if err := h.updateEpochState(func(o *epochState) { o.Assigned = remaining }); err != nil {
		h.cfg.Logger.Error("failed to store epoch state", zap.Error(err))
	}
}

// isAligned reports whether the log may grant tokens for the account.
func (h *Holder) isAligned(account string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, left := h.epochState.Assigned[account]
	return !left
}

// updateEpochState modifies the epoch state and stores it. After a failed write
// the change is in memory only.
func (h *Holder) updateEpochState(change func(*epochState)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.epochState)
	data, err := json.Marshal(h.epochState)
	if err == nil {
		err = writeFileAtomic(h.epochPath(), data)
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "store the epoch: %v", err)
	}
	return nil
}

// chooseSource queries the other holders for their copies and returns the
// longest copy of the latest epoch. While a holder is unreachable, it fails
// until the grace period has passed, since that holder may have the longest
// copy.
func (h *Holder) chooseSource(ctx context.Context, waited time.Duration) (source, error) {
	var best source
	unreachable := 0
	for _, peer := range h.cfg.Peers {
		reply, err := h.fetch(ctx, peer, math.MaxUint64)
		switch {
		case err != nil && fault.Of(err) == fault.Missing:
		case err != nil:
			unreachable++
		default:
			if s := (source{holder: peer, epoch: reply.Epoch, next: reply.Position, lastComplete: reply.Contact}); s.isBetterThan(best) {
				best = s
			}
		}
	}
	if unreachable > 0 && (best.holder == "" || waited < restoreGracePeriod) {
		return source{}, eris.Wrapf(fault.Unavailable, "%d holders did not report whether they have a copy", unreachable)
	}
	return best, nil
}

// copyJournal replaces the journal with the copy, or empties it if there is
// none.
func (h *Holder) copyJournal(ctx context.Context, from source) error {
	if from.holder == "" {
		return h.journal.Reset(nil, 0)
	}
	for position, more := uint64(0), true; more; {
		reply, err := h.fetch(ctx, from.holder, position)
		if err != nil {
			return err
		}
		if reply.Epoch != from.epoch || position > 0 && reply.Position != position {
			return eris.Wrapf(fault.Unavailable, "copy changed at position %d", position)
		}
		if position == 0 {
			err = h.journal.Reset(reply.Snapshot, reply.Position)
		}
		if err == nil && len(reply.Records) > 0 {
			_, err = h.journal.Append(reply.Records)
		}
		if err != nil {
			return err
		}
		position, more = h.journal.Next(), reply.More
	}
	if got := h.journal.Next(); got < from.next {
		return eris.Wrapf(fault.Unavailable, "copy ends at position %d, want %d", got, from.next)
	}
	return nil
}

func (h *Holder) fetch(ctx context.Context, peer string, position uint64) (*wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.cfg.Fetch(ctx, peer, &wire.FetchRequest{Zone: h.cfg.Zone, Position: position})
	if err != nil {
		return nil, eris.Wrapf(fault.Unavailable, "fetch from %s: %v", peer, err)
	}
	return reply, reply.Fault.Err()
}

func (h *Holder) newLedger() (*ledger.Ledger, error) {
	return ledger.New(ledger.Config{Zone: h.cfg.Zone, Journal: h.journal, Now: h.cfg.Now, Logger: h.cfg.Logger, CompactBytes: h.cfg.CompactBytes,
		ExchangedUntil: func() time.Time { return time.Unix(0, h.exchangedNanos.Load()) }})
}

func (h *Holder) epochPath() string { return filepath.Join(h.cfg.Path, "epoch") }
