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
	// copyRecords bounds the records of one call; the journal bounds their
	// size.
	copyRecords = 1024
	// contactInterval separates calls without records, which tell the other
	// holder that its copy is whole.
	contactInterval = time.Second
	// scanInterval bounds the delay of records that are written without a
	// notice to the copying goroutines, such as fences.
	scanInterval = 50 * time.Millisecond
	// copyPauseLimit bounds the growing pause after a failed call.
	copyPauseLimit = 400 * time.Millisecond
)

// copier streams the journal to one other holder. Its copy counts only after
// the other holder has confirmed an empty request at the end of what the
// journal held when the books were opened: until then, it may still keep the
// copy of an earlier epoch in front.
type copier struct {
	*Holder
	epoch     uint64
	other     string
	target    uint64
	next      uint64 // next position to send
	compacted uint64 // position of the snapshot that the copy has
	counts    bool
	whole     time.Time // last call that said that the copy is whole
}

// copyTo copies the journal to one other holder until ctx ends.
func (h *Holder) copyTo(ctx context.Context, l *ledger.Ledger, other string, target uint64) {
	pause := retryPause
	for ctx.Err() == nil {
		c := &copier{Holder: h, epoch: l.Epoch(), other: other, target: target}
		err := c.stream(ctx, func() { pause = retryPause })
		if ctx.Err() == nil {
			h.cfg.Logger.Debug("Copy failed.", zap.String("holder", other), zap.Error(err))
			sleep(ctx, pause)
			pause = min(2*pause, copyPauseLimit)
		}
	}
}

// stream asks for the position of the copy and sends records until a call
// fails.
func (c *copier) stream(ctx context.Context, succeeded func()) error {
	reply, err := c.call(ctx, &wire.CopyRequest{Position: math.MaxUint64})
	if err != nil {
		return err
	}
	c.next = reply.Position
	c.compacted = c.journal.First()
	for {
		woken := c.progress.woken()
		if err := c.send(ctx); err != nil {
			return err
		}
		succeeded()
		if c.next < c.journal.Next() || !c.counts || c.cfg.Now().Sub(c.whole) >= contactInterval {
			continue
		}
		if err := c.idle(ctx, woken); err != nil {
			return err
		}
	}
}

// send makes one call, with the records from the next position on or with
// none at the end of the journal.
func (c *copier) send(ctx context.Context) error {
	end, now := c.journal.Next(), c.cfg.Now().UnixNano()
	request, err := c.request()
	if err != nil {
		return err
	}
	reply, err := c.call(ctx, request)
	if err != nil {
		return err
	}
	if next := c.journal.Next(); reply.Position > next {
		return eris.Wrapf(fault.Broken, "copy has position %d, journal ends at %d", reply.Position, next)
	}
	c.next = reply.Position
	if len(request.Snapshot) > 0 {
		c.compacted = request.Position
	}
	empty := len(request.Records) == 0 && len(request.Snapshot) == 0
	if empty && c.next == request.Position {
		c.whole = c.cfg.Now()
	}
	c.counts = c.counts || empty && c.next == request.Position && c.next >= c.target
	if c.counts && c.next >= end {
		c.progress.has(c.other, now)
	}
	if c.counts && c.progress.advance(c.next) {
		c.cfg.Logger.Info("Solo mode ends.", zap.String("holder", c.other), zap.Uint64("position", c.next))
	}
	return nil
}

func (c *copier) request() (*wire.CopyRequest, error) {
	request := &wire.CopyRequest{Position: c.next}
	if c.next < c.journal.First() || c.compacted < c.journal.First() {
		request.Snapshot, request.Position = c.journal.Snapshot()
	}
	if request.Position > c.journal.Next() {
		return nil, eris.Wrapf(fault.Broken, "copy has position %d, journal ends at %d", request.Position, c.journal.Next())
	}
	var err error
	request.Records, err = c.journal.Read(request.Position, copyRecords)
	return request, err
}

// idle waits until there are records to copy, or a call without records is
// due.
func (c *copier) idle(ctx context.Context, woken <-chan struct{}) error {
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	contact := time.NewTimer(contactInterval)
	defer contact.Stop()
	for c.next == c.journal.Next() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-woken:
			return nil
		case <-contact.C:
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
	reply, err := c.cfg.Copy(ctx, c.other, request)
	if err != nil {
		return nil, err
	}
	c.contacts.hear(c.other)
	return reply, reply.Fault.Err()
}
