package replicator

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

// Transfer hands leadership to the most up-to-date active voter and returns
// once this member no longer leads. It returns nil if this member is not the
// leader. If no voter takes over within two election timeouts, it returns
// fault.Unavailable, and this member keeps leading.
func (r *Replicator) Transfer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*r.cfg.ElectionTimeout)
	defer cancel()
	r.mu.Lock()
	ls := r.leading
	if ls == nil {
		r.mu.Unlock()
		return nil
	}
	now, transferee := r.cfg.Now(), (*peer)(nil)
	for _, v := range r.members().Voters {
		p := ls.peers[v]
		if p != nil && now.Sub(p.lastContact) < r.cfg.ElectionTimeout && (transferee == nil || p.matchIndex > transferee.matchIndex) {
			transferee = p
		}
	}
	if transferee == nil {
		r.mu.Unlock()
		return eris.Wrap(fault.Unavailable, "transfer: no other voter is reachable")
	}
	ls.transferee = transferee.member
	r.wakePeers()
	r.mu.Unlock()
	r.cfg.Logger.Info("transferring leadership", zap.String("to", transferee.member))
	err := r.await(ctx, func() (bool, error) { return r.leading != ls, nil })
	if err == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ls.transferee = ""
	return eris.Wrapf(fault.Unavailable, "transfer: %s did not take over in time", transferee.member)
}
