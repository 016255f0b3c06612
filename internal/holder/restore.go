package holder

import (
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
	// restoreGrace is how long a restore waits for the copies of holders that
	// don't answer, when another one has a copy.
	restoreGrace = 10 * time.Second
	// alignLimit bounds the accounts that are aligned at once, which share
	// syncs.
	alignLimit = 64
	// restorePause separates the attempts to restore.
	restorePause = 200 * time.Millisecond
)

// opening is the content of the file "epoch". It is removed before a restore
// writes the journal, and written before the epoch begins in the ledger. So
// the books can be opened without the log only if the journal is whole.
type opening struct {
	Epoch    uint64
	Contact  int64            // time at which the copy of the epoch before was whole last
	Handed   []string         // instances that have handed over their records since
	Assigned map[string]int64 // tokens per account that the log had assigned, until the ledger is aligned
}

// source is a copy of the zone's journal on another holder.
type source struct {
	holder  string
	epoch   uint64
	next    uint64
	contact int64
}

// begin opens the books: as they are if the journal is whole, and otherwise
// from the longest copy under a new epoch. It returns an error only when ctx
// ends.
func (h *Holder) begin(ctx context.Context) (*ledger.Ledger, error) {
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
		h.cfg.Logger.Warn("Books can't be opened yet.", zap.Error(err))
		sleep(ctx, restorePause)
	}
}

// reopen returns the ledger over the present journal, or nil if the books have
// to be restored. That includes an empty journal, which can be a lost one.
func (h *Holder) reopen() (*ledger.Ledger, error) {
	data, err := os.ReadFile(h.openingPath())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var o opening
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	if err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "read the epoch: %v", err)
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

// restore makes one attempt to open the books under a new epoch.
func (h *Holder) restore(ctx context.Context, waited time.Duration) (*ledger.Ledger, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.cfg.Read(call, &wire.ReadRequest{})
	if err == nil {
		err = reply.Fault.Err()
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the epoch of the zone")
	}
	known := reply.Epochs[h.cfg.Zone]
	if err := os.Remove(h.openingPath()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrapf(fault.Corrupt, "remove the epoch: %v", err)
	}
	if err := syncFolder(h.cfg.Path); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "remove the epoch: %v", err)
	}
	var best source
	if known > 0 {
		if best, err = h.choose(ctx, waited); err != nil {
			return nil, err
		}
	}
	if err := h.pull(ctx, best); err != nil {
		return nil, eris.Wrapf(err, "copy of %s", best.holder)
	}
	l, err := h.newLedger()
	if err != nil {
		return nil, err
	}
	return l, h.start(ctx, l, known, best)
}

// start commits the new epoch and begins it in the ledger.
func (h *Holder) start(ctx context.Context, l *ledger.Ledger, known uint64, best source) error {
	data, err := h.propose(ctx, &wire.Command{Change: &wire.Command_Epoch{Epoch: &wire.Epoch{
		Zone: h.cfg.Zone, Epoch: known, Instance: h.cfg.Name, Sequence: uint64(h.cfg.Now().UnixNano()),
	}}})
	if err != nil {
		return eris.Wrap(err, "new epoch")
	}
	result := &wire.EpochResult{}
	if err := proto.Unmarshal(data, result); err != nil {
		return eris.Wrapf(fault.Broken, "result of an epoch: %v", err)
	}
	o := opening{Epoch: result.Epoch, Contact: best.contact, Assigned: map[string]int64{}}
	if known > 0 {
		for _, t := range l.Tally("") {
			o.Assigned[t.Account] = 0
			if t.Stranded > 0 {
				// The proof of an earlier epoch isn't complete. Its contact, which
				// is lost too, was an earlier one.
				o.Contact = 0
			}
		}
		for _, pool := range result.Pools {
			o.Assigned[pool.Account] = pool.Zones[h.cfg.Zone]
		}
	}
	if err := h.amend(func(present *opening) { *present = o }); err != nil {
		return err
	}
	if err := l.BeginEpoch(result.Epoch); err != nil {
		return eris.Wrapf(err, "begin epoch %d", result.Epoch)
	}
	h.resume(l, o)
	if known > 0 {
		h.cfg.Logger.Warn("Books were restored.", zap.Uint64("epoch", result.Epoch), zap.String("holder", best.holder), zap.Uint64("position", best.next))
	}
	return nil
}

// resume takes up what is left to do after the begin of an epoch.
func (h *Holder) resume(l *ledger.Ledger, o opening) {
	h.proofs.since(o.Contact, o.Handed)
	h.mu.Lock()
	h.opening = o
	h.mu.Unlock()
	h.align(l)
}

// align brings the granted rights in line with the log. The difference are
// grants and releases after the tail of the copy. An account that needs the
// cancelled bills of another zone first is tried again after the next merge.
func (h *Holder) align(l *ledger.Ledger) {
	h.mu.Lock()
	o := h.opening
	h.mu.Unlock()
	if len(o.Assigned) == 0 {
		return
	}
	left := map[string]int64{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(alignLimit)
	for account, assigned := range o.Assigned {
		group.Go(func() error {
			err := l.Align(account, assigned)
			if err != nil && fault.Of(err) != fault.Broken {
				mu.Lock()
				defer mu.Unlock()
				left[account] = assigned
			}
			return nil
		})
	}
	_ = group.Wait()
	h.cfg.Logger.Info("Books are aligned with the log.", zap.Int("accounts", len(o.Assigned)), zap.Int("left", len(left)))
	if len(left) == len(o.Assigned) {
		return
	}
	if err := h.amend(func(o *opening) { o.Assigned = left }); err != nil {
		h.cfg.Logger.Error("Epoch can't be stored.", zap.Error(err))
	}
}

// aligned tells whether the log may grant rights for the account.
func (h *Holder) aligned(account string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, left := h.opening.Assigned[account]
	return !left
}

// amend changes the opening and stores it. After a failed write the change
// holds in memory only.
func (h *Holder) amend(change func(*opening)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.opening)
	data, err := json.Marshal(h.opening)
	if err == nil {
		err = replaceFile(h.openingPath(), data)
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "store the epoch: %v", err)
	}
	return nil
}

// choose asks the other holders for their copies and returns the one of the
// latest epoch that is the longest. While a holder doesn't answer, it fails
// until the grace has passed, since that holder may have the longest copy.
func (h *Holder) choose(ctx context.Context, waited time.Duration) (source, error) {
	var best source
	silent := 0
	for _, other := range h.cfg.Others {
		reply, err := h.fetch(ctx, other, math.MaxUint64)
		switch {
		case err != nil && fault.Of(err) == fault.Missing:
		case err != nil:
			silent++
		case reply.Epoch > best.epoch || reply.Epoch == best.epoch && reply.Position > best.next:
			best = source{holder: other, epoch: reply.Epoch, next: reply.Position, contact: reply.Contact}
		}
	}
	if silent > 0 && (best.holder == "" || waited < restoreGrace) {
		return source{}, eris.Wrapf(fault.Unavailable, "%d holders don't tell whether they have a copy", silent)
	}
	return best, nil
}

// pull replaces the journal by the copy, or empties it if there is none.
func (h *Holder) pull(ctx context.Context, from source) error {
	if from.holder == "" {
		return h.journal.Reset(nil, 0)
	}
	for position, more := uint64(0), true; more; {
		reply, err := h.fetch(ctx, from.holder, position)
		if err != nil {
			return err
		}
		if reply.Epoch != from.epoch || position > 0 && reply.Position != position {
			return eris.Wrapf(fault.Unavailable, "copy has changed at position %d", position)
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
		return eris.Wrapf(fault.Unavailable, "copy ends at %d, want %d", got, from.next)
	}
	return nil
}

func (h *Holder) fetch(ctx context.Context, other string, position uint64) (*wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.cfg.Fetch(ctx, other, &wire.FetchRequest{Zone: h.cfg.Zone, Position: position})
	if err != nil {
		return nil, eris.Wrapf(fault.Unavailable, "fetch from %s: %v", other, err)
	}
	return reply, reply.Fault.Err()
}

func (h *Holder) newLedger() (*ledger.Ledger, error) {
	return ledger.New(ledger.Config{Zone: h.cfg.Zone, Journal: h.journal, Now: h.cfg.Now, Logger: h.cfg.Logger, CompactBytes: h.cfg.Compact,
		ExchangedUntil: func() time.Time { return time.Unix(0, h.exchanged.Load()) }})
}

func (h *Holder) openingPath() string { return filepath.Join(h.cfg.Path, "epoch") }
