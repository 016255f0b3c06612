package balancer

import "go.uber.org/zap"

// Pick is a request that goes to a target. Done must be called once.
type Pick struct {
	b      *Balancer
	t      *target
	unread int64
	reads  int64 // prompt tokens that the target is taken to read
	held   int64
	trial  bool

	// What the choice was based on, for the log.
	cost, homeCost float64
	home           bool
	running        int
	backlog        int64
}

// LogFields returns what the choice was based on, for the log: the costs of the
// target and of the home of the prompt's shared parts, the requests in flight at
// the target, its prompt tokens that wait, and those of the prompt that it is
// taken to read.
func (p *Pick) LogFields() []zap.Field {
	return []zap.Field{
		zap.String("target", p.ID()), zap.Bool("home", p.home), zap.Float64("score", p.cost), zap.Float64("homescore", p.homeCost),
		zap.Int("running", p.running), zap.Int64("backlog", p.backlog), zap.Int64("reads", p.reads),
	}
}

// ID returns the name of the target.
func (p *Pick) ID() string { return p.t.listing.Id }

// Address returns the address of the target.
func (p *Pick) Address() string { return p.t.listing.Address }

// MarkPrefilled notes that the target has read the prompt.
func (p *Pick) MarkPrefilled() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.begun()
}

func (p *Pick) begun() {
	p.t.unread -= p.unread
	p.unread = 0
}

// Done notes how the request ended.
func (p *Pick) Done(o Outcome) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.begun()
	t := p.t
	t.running--
	t.memory -= p.held
	if p.trial {
		t.trial = false
	}
	p.b.observe(t.listing, o)
	pool := t.listing.Pool
	before := t.until
	t.judge(o, p.b.rates[pool], p.b.cfg.Now())
	if o == ConnectionLost || o == Misdirected {
		t.forget()
	}
	if o == Served || o == Failed {
		failed := 0.0
		if o == Failed {
			failed = 1
		}
		// The rate of a pool moves slowly, so that one bad target doesn't raise
		// it.
		p.b.rates[pool] += failureWeight / 10 * (failed - p.b.rates[pool])
	}
	if t.until != before {
		p.b.cfg.Logger.Info("Target is taken out.", zap.String("target", t.listing.Id), zap.Stringer("outcome", o),
			zap.Float64("failures", t.failures), zap.Float64("pool", p.b.rates[pool]), zap.Duration("pause", t.pause))
	}
}
