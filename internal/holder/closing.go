package holder

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ledger"
)

// closingGrace is the time in which entry instances return their allowances
// when the venture closes. It covers the 5 s after which an idle allowance is
// returned and the time of a settle.
const closingGrace = 15 * time.Second

// fenceAll fences the incarnations that still hold allowances some time after
// the venture began to close. Their instances are gone, cut off, or lost the
// reply of a draw; without the fence the books would never close.
func (h *Holder) fenceAll(l *ledger.Ledger) {
	since := time.Unix(0, h.closingSince.Load())
	if h.cfg.Now().Sub(since) < closingGrace {
		return
	}
	for _, held := range l.Holdings() {
		if err := l.Fence(held.Instance, held.Incarnation); err != nil {
			h.cfg.Logger.Warn("Instance is not fenced.", zap.String("instance", held.Instance), zap.Error(err))
			continue
		}
		h.cfg.Logger.Info("Instance is fenced, the venture closes.", zap.String("instance", held.Instance))
	}
	h.freeStranded(l)
}

// freeStranded frees the rights that a lost disk has stranded. When the
// venture closes nothing can be spent any more, since bills of the lost epoch
// are refused, so rights without a bill belong to the account.
func (h *Holder) freeStranded(l *ledger.Ledger) {
	for _, t := range l.Tally("") {
		if t.Stranded == 0 || !h.aligned(t.Account) {
			continue
		}
		if err := l.FreeStranded(t.Account); err != nil {
			h.cfg.Logger.Warn("Stranded rights are not free.", zap.String("account", t.Account), zap.Error(err))
			continue
		}
		h.cfg.Logger.Info("Stranded rights are free.", zap.String("account", t.Account), zap.Int64("tokens", t.Stranded))
	}
}
