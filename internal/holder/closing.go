package holder

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ledger"
)

// closingGracePeriod is how long entry instances may take to return their
// allowances at dissolution. It covers the 5 s after which idle allowances are
// returned, plus the time of a settle.
const closingGracePeriod = 15 * time.Second

// fenceAll fences the incarnations that still hold allowances after the grace
// period. Their instances are gone or unreachable, or lost the reply to a draw.
// Without the fence their tokens would never be released.
func (h *Holder) fenceAll(l *ledger.Ledger) {
	since := time.Unix(0, h.closingSince.Load())
	if h.cfg.Now().Sub(since) < closingGracePeriod {
		return
	}
	for _, held := range l.Holdings() {
		if err := l.Fence(held.Instance, held.Incarnation); err != nil {
			h.cfg.Logger.Warn("failed to fence instance", zap.String("instance", held.Instance), zap.Error(err))
			continue
		}
		h.cfg.Logger.Info("instance fenced for dissolution", zap.String("instance", held.Instance))
	}
	h.freeStranded(l)
}

// freeStranded frees the tokens stranded by a disk loss. At dissolution nothing
// more can be spent, since bills of the lost epoch are rejected, so tokens
// without a bill belong to the account.
func (h *Holder) freeStranded(l *ledger.Ledger) {
	for _, t := range l.Tally("") {
		if t.Stranded == 0 || !h.isAligned(t.Account) {
			continue
		}
		if err := l.FreeStranded(t.Account); err != nil {
			h.cfg.Logger.Warn("failed to free stranded tokens", zap.String("account", t.Account), zap.Error(err))
			continue
		}
		h.cfg.Logger.Info("stranded tokens freed", zap.String("account", t.Account), zap.Int64("tokens", t.Stranded))
	}
}
