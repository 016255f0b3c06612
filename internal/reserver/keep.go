package reserver

import (
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// maxRetainedBytes bounds the bills retained per holder.
const maxRetainedBytes = 8 << 20

// retainedBills holds the bills that a ledger in solo mode stores on one disk
// only.
type retainedBills struct {
	entries     []retainedBill
	size        int
	dropped     uint64 // bills dropped because of the size limit
	closedEpoch uint64 // bills of earlier epochs have been handed over
}

type retainedBill struct {
	source   source
	position uint64
	bill     *wire.Bill
	size     int
}

// retain stores the bills of a solo reply and drops those that have been
// copied. The copied position applies only to the epoch of the request, since
// the journal of a later epoch may lack the records. Duplicates are retained
// too, since the reply to their first settle may have been lost. It returns
// fault.Fenced if the bills of the epoch have been handed over.
func (s *sender) retain(from source, request *wire.SettleRequest, reply *wire.SettleReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := &s.retained
	k.remove(func(e retainedBill) bool { return e.source.epoch == from.epoch && e.position <= reply.Copied })
	if !reply.Solo || reply.Position <= reply.Copied {
		return nil
	}
	if from.epoch < k.closedEpoch {
		return eris.Wrapf(fault.Fenced, "epoch %d of %s has been replaced", from.epoch, s.holder)
	}
	for i, bill := range request.Bills {
		if reply.Outcomes[i] == wire.Outcome_OUTCOME_BILLED || reply.Outcomes[i] == wire.Outcome_OUTCOME_DUPLICATE {
			k.add(retainedBill{source: from, position: reply.Position, bill: bill, size: proto.Size(bill)})
		}
	}
	return nil
}

// RetainBills retains bills that a holder stores only on its own disk, up to
// the journal position, until the holder reports that they have been copied or
// they are handed over. It returns fault.Fenced if the bills of the epoch have
// already been handed over.
func (r *Reserver) RetainBills(holder string, epoch, position uint64, bills []*wire.Bill) error {
	s := r.sender(holder)
	h := r.cfg.Holding()
	from := source{holder: holder, instance: h.Instance, incarnation: h.Incarnation, epoch: epoch}
	outcomes := make([]wire.Outcome, len(bills))
	for i := range outcomes {
		outcomes[i] = wire.Outcome_OUTCOME_BILLED
	}
	return s.retain(from, &wire.SettleRequest{Bills: bills}, &wire.SettleReply{Outcomes: outcomes, Solo: true, Position: position})
}

// add retains a bill, without its answer if that exceeds the size limit. If
// necessary it drops the oldest bills.
func (k *retainedBills) add(e retainedBill) {
	if k.size+e.size > maxRetainedBytes && len(e.bill.Answer) > 0 {
		e.bill = proto.CloneOf(e.bill)
		e.bill.Answer = nil
		e.size = proto.Size(e.bill)
	}
	for k.size+e.size > maxRetainedBytes && len(k.entries) > 0 {
		k.size -= k.entries[0].size
		k.entries = k.entries[1:]
		k.dropped++
	}
	k.entries = append(k.entries, e)
	k.size += e.size
}

func (k *retainedBills) remove(drop func(retainedBill) bool) {
	k.entries = slices.DeleteFunc(k.entries, drop)
	k.size = 0
	for _, e := range k.entries {
		k.size += e.size
	}
}

// RetainedBills returns the bills that a holder has settled in solo mode before
// the epoch and not reported as copied, as one request per epoch and
// incarnation. Afterwards no more such bills are retained or reported as
// settled. The caller adds the zone and the start of the incarnation. The
// second result is the number of bills dropped because of the size limit;
// unless it is 0, the caller must not present the requests as complete.
func (r *Reserver) RetainedBills(holder string, epoch uint64) ([]*wire.KeepRequest, uint64) {
	s := r.sender(holder)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retained.closedEpoch = max(s.retained.closedEpoch, epoch)
	var requests []*wire.KeepRequest
	bySource := map[source]*wire.KeepRequest{}
	for _, e := range s.retained.entries {
		if e.source.epoch >= epoch {
			continue
		}
		request := bySource[e.source]
		if request == nil {
			request = &wire.KeepRequest{Holding: e.source.holding(), Epoch: e.source.epoch}
			bySource[e.source] = request
			requests = append(requests, request)
		}
		request.Bills = append(request.Bills, e.bill)
	}
	return requests, s.retained.dropped
}

// DropRetained drops the retained bills of a holder for the epoch, after they
// have been handed over.
func (r *Reserver) DropRetained(holder string, epoch uint64) {
	s := r.sender(holder)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retained.remove(func(e retainedBill) bool { return e.source.epoch == epoch })
}

// pollCopied sends settle requests without bills to the holders with retained
// bills, to learn the copied positions.
func (r *Reserver) pollCopied() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.senders {
		s.mu.Lock()
		if n := len(s.retained.entries); n > 0 && s.inFlight == 0 && !s.polling {
			s.polling = true
			go r.pollHolder(s, s.retained.entries[n-1].source)
		}
		s.mu.Unlock()
	}
}

func (r *Reserver) pollHolder(s *sender, from source) {
	request := &wire.SettleRequest{Holding: from.holding(), Epoch: from.epoch}
	reply, err := r.callSettle(s, request)
	if err == nil {
		_ = s.retain(from, request, reply) // without bills it only drops copied ones
	}
	s.mu.Lock()
	s.polling = false
	s.mu.Unlock()
}
