package balancer

import (
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

// Pick is a request assigned to a target. Done must be called exactly once.
type Pick struct {
	b              *Balancer
	t              *target
	listing        *wire.Listing // of the target when it was chosen
	pendingTokens  int64
	prefillTokens  int64 // prompt tokens expected to be computed
	reservedTokens int64
	probe          bool
	done           bool // Done was called

	// Inputs of the choice, for the log.
	cost, homeCost float64
	home           bool
	running        int
	backlog        int64
}

// LogFields returns the inputs of the choice as log fields: the software version
// and the costs of the
// target and of the home target, the requests in flight and pending prompt
// tokens at the target, and the prompt tokens it is expected to compute.
func (p *Pick) LogFields() []zap.Field {
	return []zap.Field{
		zap.String("target", p.ID()), zap.String("software", p.Version()), zap.Bool("home", p.home), zap.Float64("score", p.cost), zap.Float64("homescore", p.homeCost),
		zap.Int("running", p.running), zap.Int64("backlog", p.backlog), zap.Int64("reads", p.prefillTokens),
	}
}

// ID returns the ID of the target.
func (p *Pick) ID() string { return p.listing.Id }

// Lifetime returns the ID of the target with the start of its lifetime.
func (p *Pick) Lifetime() string {
	return p.t.lifetime
}

// Version returns the software version of the target's lifetime, "" if unknown.
func (p *Pick) Version() string { return p.listing.Version }

// Address returns the address of the target.
func (p *Pick) Address() string { return p.listing.Address }

// MarkPrefilled records that the target has processed the prompt. Another request may
// probe the target then.
func (p *Pick) MarkPrefilled() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.markPrefilled()
	p.endProbe()
}

// endProbe ends the probe that the request may be. The caller holds mu.
func (p *Pick) endProbe() {
	if p.probe {
		p.probe = false
		p.t.probes--
	}
}

func (p *Pick) markPrefilled() {
	p.t.pendingTokens -= p.pendingTokens
	p.pendingTokens = 0
}

// Done records the outcome of the request.
func (p *Pick) Done(o Outcome) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.finish(o)
}

// Release ends a pick whose request has panicked. It says nothing about the target, and
// has no effect after Done.
func (p *Pick) Release() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	if !p.done {
		p.finish(Canceled)
	}
}

// finish records the outcome. The caller holds mu.
func (p *Pick) finish(o Outcome) {
	p.done = true
	p.markPrefilled()
	t := p.t
	t.running--
	t.reservedTokens -= p.reservedTokens
	p.endProbe()
	p.b.observeZone(t.listing, o)
	pool := t.listing.Pool
	before := t.ejectedUntil
	t.recordOutcome(o, p.b.failureRates[pool], p.b.cfg.Now())
	if o == ConnectionLost || o == Misdirected {
		t.clearCache()
	}
	if o == Served || o == Failed {
		failed := 0.0
		if o == Failed {
			failed = 1
		}
		// The failure rate of a pool changes slowly, so that one bad target
		// does not raise it.
		p.b.failureRates[pool] += failureWeight / 10 * (failed - p.b.failureRates[pool])
	}
	if t.ejectedUntil != before {
		p.b.cfg.Logger.Info("target ejected", zap.String("target", t.listing.Id), zap.Stringer("outcome", o),
			zap.Float64("failures", t.failureRate), zap.Float64("pool", p.b.failureRates[pool]), zap.Duration("pause", t.ejection))
	}
}
