package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// defaultBytes is the limit if the memory of the process has none.
	defaultBytes = 256 << 20
	// smallBytes is the size up to which a request isn't limited by what large ones
	// take. Typical requests have at most half of it.
	smallBytes = 128 << 10
	// largeRatio is the part of the limit that large requests may take together. The
	// rest is for small ones, which must not wait behind them.
	largeRatio = 0.6
	// largeAccountRatio is the part of that which one account may take, and
	// accountRatio its part of the limit.
	largeAccountRatio = 0.5
	accountRatio      = 0.75
	// optionalRatio is the part of the limit up to which bytes are held that need not
	// be.
	optionalRatio = 0.8
	// waitTimeout bounds the wait for bytes. Most large requests end earlier, and a
	// caller loses less by the wait than by a return.
	waitTimeout = 250 * time.Millisecond
	// maxWaiters limits the waiting requests. What a waiting caller has sent stays in
	// the buffer of its connection.
	maxWaiters = 256
)

// ErrTooLarge is returned for more bytes than the limit. It wraps fault.Malformed.
var ErrTooLarge = eris.Wrap(fault.Malformed, "request needs more memory than the limit")

// Config configures a Limiter.
type Config struct {
	// Bytes is the limit; 0 stands for a default of 256 MiB.
	Bytes int64
}

// Limiter limits the bytes held for all requests of a process. It is safe for
// concurrent use.
type Limiter struct {
	limit, largeLimit int64

	mu       sync.Mutex
	total    use
	accounts map[string]*use
	waiters  []*waiter
	refusals int64
}

// use is the bytes held by an account or by all.
type use struct {
	bytes int64
	large int64 // of them, those of large requests
}

// Hold is the bytes held for one request. It is safe for concurrent use.
type Hold struct {
	limiter *Limiter
	account string
	bytes   int64
}

// waiter is a request that waits for bytes.
type waiter struct {
	hold    *Hold
	bytes   int64
	granted chan struct{}
}

// New returns a Limiter of which nothing is held.
func New(cfg Config) *Limiter {
	if cfg.Bytes <= 0 {
		cfg.Bytes = defaultBytes
	}
	return &Limiter{limit: cfg.Bytes, largeLimit: part(cfg.Bytes, largeRatio), accounts: map[string]*use{}}
}

// part returns a part of a number of bytes.
func part(n int64, ratio float64) int64 { return int64(ratio * float64(n)) }

// Held returns the bytes held for all requests.
func (l *Limiter) Held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total.bytes
}

// Refusals returns how often bytes were refused that a request needed.
func (l *Limiter) Refusals() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals
}

// Begin returns an empty Hold for a request of an account. It must be ended.
func (l *Limiter) Begin(account string) *Hold { return &Hold{limiter: l, account: account} }

// Take takes bytes that the request can't do without, and waits for them for a short
// time. The error is ErrTooLarge, or wraps fault.Overloaded if others hold the bytes.
func (h *Hold) Take(ctx context.Context, n int64) error {
	l := h.limiter
	w := &waiter{hold: h, bytes: n, granted: make(chan struct{})}
	l.mu.Lock()
	if h.bytes+n > l.limit {
		l.refusals++
		l.mu.Unlock()
		return ErrTooLarge
	}
	if l.fits(h, n) { // those that wait don't fit, whatever their number
		l.add(h, n)
		l.mu.Unlock()
		return nil
	}
	waits := len(l.waiters) < maxWaiters
	if waits {
		l.waiters = append(l.waiters, w)
	}
	l.mu.Unlock()
	if waits {
		timer := time.NewTimer(waitTimeout)
		defer timer.Stop()
		select {
		case <-w.granted:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	l.waiters = slices.DeleteFunc(l.waiters, func(v *waiter) bool { return v == w })
	l.refusals++
	return eris.Wrapf(fault.Overloaded, "no memory for %d bytes, %d of %d are held", n, l.total.bytes, l.limit)
}

// TryTake takes bytes that the request can do without, and reports whether there were
// enough.
func (h *Hold) TryTake(n int64) bool {
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > 0 && (l.total.bytes+n > part(l.limit, optionalRatio) || !l.fits(h, n)) {
		return false
	}
	l.add(h, n)
	return true
}

// Give gives bytes back.
func (h *Hold) Give(n int64) {
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(h, -n)
	l.grant()
}

// End gives all bytes back.
func (h *Hold) End() {
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(h, -h.bytes)
	l.grant()
}

// grant gives bytes to those waiters that they suffice for, first to those whose
// account holds the fewest.
func (l *Limiter) grant() {
	if len(l.waiters) == 0 {
		return
	}
	slices.SortStableFunc(l.waiters, func(v, w *waiter) int {
		return int(l.account(v.hold).bytes - l.account(w.hold).bytes)
	})
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		if !l.fits(w.hold, w.bytes) {
			return false
		}
		l.add(w.hold, w.bytes)
		close(w.granted)
		return true
	})
}

// fits reports whether a request may hold more bytes.
func (l *Limiter) fits(h *Hold, n int64) bool {
	before, after := h.use(0), h.use(n)
	own := l.account(h)
	total := l.total.bytes + n
	if after.large == 0 {
		return total <= l.limit && own.bytes+n <= part(l.limit, accountRatio)
	}
	large := after.large - before.large
	if l.total.large == before.large {
		return total <= l.limit // a large request alone is served if it can be
	}
	fair := own.large == before.large || own.large+large <= part(l.largeLimit, largeAccountRatio)
	return total <= l.limit && l.total.large+large <= l.largeLimit && fair
}

// use returns what the request holds with n more bytes.
func (h *Hold) use(n int64) use {
	u := use{bytes: h.bytes + n}
	if u.bytes > smallBytes {
		u.large = u.bytes
	}
	return u
}

// account returns what the account of a request holds.
func (l *Limiter) account(h *Hold) use {
	if u := l.accounts[h.account]; u != nil {
		return *u
	}
	return use{}
}

// add adds bytes to a request, to its account and to the total.
func (l *Limiter) add(h *Hold, n int64) {
	large := h.use(n).large - h.use(0).large
	u := l.accounts[h.account]
	if u == nil {
		u = &use{}
		l.accounts[h.account] = u
	}
	h.bytes += n
	for _, u := range []*use{u, &l.total} {
		u.bytes += n
		u.large += large
	}
	if u.bytes == 0 {
		delete(l.accounts, h.account)
	}
}
