package holder

import (
	"context"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// maxCopyRecords limits the records of one call; the journal limits their
	// size.
	maxCopyRecords = 1024
	// heartbeatInterval is the interval of calls without records, which confirm
	// that the copy is complete.
	heartbeatInterval = time.Second
	// pollInterval bounds the delay of records that are written without waking
	// the copiers, such as fences.
	pollInterval = 50 * time.Millisecond
	// maxCopyBackoff limits the backoff after a failed call.
	maxCopyBackoff = 400 * time.Millisecond
)

// copier streams the journal to another holder. The copy is confirmed once the
// peer has accepted an empty request at or past the end that the journal had
// when the ledger was opened. Until then the peer may still serve the copy of
// an earlier epoch.
type copier struct {
	*Holder
	epoch            uint64
	peer             string
	openPosition     uint64
	next             uint64 // next position to send
	snapshotPosition uint64 // position of the snapshot in the copy
	confirmed        bool
	lastComplete     time.Time // time of the last call that confirmed a complete copy
}

// copyTo copies the journal to a peer until ctx ends.
func (h *Holder) copyTo(ctx context.Context, l *ledger.Ledger, peer string, openPosition uint64) {
	backoff := retryInterval
	for ctx.Err() == nil {
		c := &copier{Holder: h, epoch: l.Epoch(), peer: peer, openPosition: openPosition}
		err := c.stream(ctx, func() { backoff = retryInterval })
		if ctx.Err() == nil {
			h.cfg.Logger.Debug("copy failed", zap.String("holder", peer), zap.Error(err))
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxCopyBackoff)
		}
	}
}

// stream queries the position of the copy and sends records until a call fails.
func (c *copier) stream(ctx context.Context, onSuccess func()) error {
	reply, err := c.call(ctx, &wire.CopyRequest{Position: math.MaxUint64})
	if err != nil {
		return err
	}
	c.next = reply.Position
	c.snapshotPosition = c.journal.First()
	for {
		woken := c.progress.wakeChannel()
		if err := c.send(ctx); err != nil {
			return err
		}
		onSuccess()
		if c.next < c.journal.Next() || !c.confirmed || c.cfg.Now().Sub(c.lastComplete) >= heartbeatInterval {
			continue
		}
		if err := c.waitForRecords(ctx, woken); err != nil {
			return err
		}
	}
}

// send makes one call with the records from the next position, or with none at
// the end of the journal.
func (c *copier) send(ctx context.Context) error {
	end, now := c.journal.Next(), c.cfg.Now().UnixNano()
	request, err := c.nextRequest()
	if err != nil {
		return err
	}
	reply, err := c.call(ctx, request)
	if err != nil {
		return err
	}
	if next := c.journal.Next(); reply.Position > next {
		return eris.Wrapf(fault.Broken, "copy is at position %d, but the journal ends at %d", reply.Position, next)
	}
	c.next = reply.Position
	if len(request.Snapshot) > 0 {
		c.snapshotPosition = request.Position
	}
	empty := len(request.Records) == 0 && len(request.Snapshot) == 0
	if empty && c.next == request.Position {
		c.lastComplete = c.cfg.Now()
	}
	c.confirmed = c.confirmed || empty && c.next == request.Position && c.next >= c.openPosition
	if c.confirmed && c.next >= end {
		c.progress.markSent(c.peer, now)
	}
	if c.confirmed && c.progress.advance(c.next) {
		c.cfg.Logger.Info("leaving solo mode", zap.String("holder", c.peer), zap.Uint64("position", c.next))
	}
	return nil
}

func (c *copier) nextRequest() (*wire.CopyRequest, error) {
	request := &wire.CopyRequest{Position: c.next}
	if c.next < c.journal.First() || c.snapshotPosition < c.journal.First() {
		request.Snapshot, request.Position = c.journal.Snapshot()
	}
	if request.Position > c.journal.Next() {
		return nil, eris.Wrapf(fault.Broken, "copy is at position %d, but the journal ends at %d", request.Position, c.journal.Next())
	}
	var err error
	request.Records, err = c.journal.Read(request.Position, maxCopyRecords)
	return request, err
}

// waitForRecords waits for records to copy, or until the next heartbeat is due.
func (c *copier) waitForRecords(ctx context.Context, woken <-chan struct{}) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for c.next == c.journal.Next() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-woken:
			return nil
		case <-heartbeat.C:
			return nil
		case <-tick.C:
		}
	}
	return nil
}

func (c *copier) call(ctx context.Context, request *wire.CopyRequest) (*wire.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request.Zone, request.Epoch = c.cfg.Zone, c.epoch
	reply, err := c.cfg.Copy(ctx, c.peer, request)
	if err != nil {
		return nil, err
	}
	c.liveness.recordReply(c.peer)
	return reply, reply.Fault.Err()
}
