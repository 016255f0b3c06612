package replicator

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

// Transfer hands leadership to the voter that is least behind and returns
// once this member no longer leads. It returns nil at once on a member that
// isn't the leader, and fault.Unavailable if no voter took over within two
// election timeouts; the member then goes on as the leader.
func (r *Replicator) Transfer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*r.cfg.ElectionTimeout)
	defer cancel()
	r.mu.Lock()
	reign := r.reign
	if reign == nil {
		r.mu.Unlock()
		return nil
	}
	now, heir := r.cfg.Now(), (*peer)(nil)
	for _, v := range r.members().Voters {
		p := reign.peers[v]
		if p != nil && now.Sub(p.contact) < r.cfg.ElectionTimeout && (heir == nil || p.match > heir.match) {
			heir = p
		}
	}
	if heir == nil {
		r.mu.Unlock()
		return eris.Wrap(fault.Unavailable, "transfer: no other voter answers")
	}
	reign.heir = heir.member
	r.wakePeers()
	r.mu.Unlock()
	r.cfg.Logger.Info("Handing leadership over.", zap.String("to", heir.member))
	err := r.await(ctx, func() (bool, error) { return r.reign != reign, nil })
	if err == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reign.heir = ""
	return eris.Wrapf(fault.Unavailable, "transfer: %s did not take over", heir.member)
}
