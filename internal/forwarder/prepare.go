package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/spender"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

const (
	// budgetWait bounds the wait for a higher limit: two calls to the leader.
	budgetWait = 600 * time.Millisecond
	// startDelay is the time after which a refused caller may find an instance
	// that has a ruleset, or a leader.
	startDelay = 700 * time.Millisecond
	// maxDelay bounds the delay in a silence of the core instances.
	maxDelay = 4 * time.Second
	// defaultBody bounds a body if the ruleset doesn't, in bytes.
	defaultBody = 4 << 20
)

// exchange is one request of a caller.
type exchange struct {
	f        *Forwarder
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time
	first    time.Time // first byte of the answer

	rules   *ruleset.Ruleset
	route   route.Route
	account prepaid.Prepaid
	pool    pool.Pool
	body    []byte
	digest  string

	parts   []balancer.Part
	tokens  int64 // of the prompt
	output  int64 // of the longest answer
	reserve *spender.Reservation

	header  http.Header // to the target
	choice  []zap.Field // of the last target
	avoid   map[string]bool
	sends   int // attempts that a target may have seen
	runs    int // targets that may have run the request
	events  int // relayed
	started bool
	status  int           // sent to the caller; 0 for none
	waited  time.Duration // for a higher limit
	last    string        // id of the last event relayed
}

// prepare finds out what the request asks for. It answers and returns false if
// the request can't be sent.
func (x *exchange) prepare() bool {
	x.rules = x.f.rules.Load()
	if x.rules == nil {
		x.refuse(http.StatusServiceUnavailable, startDelay, "no ruleset is known")
		return false
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	t, ok := x.rules.Match(x.r.Host, path)
	if !ok {
		x.refuse(http.StatusNotFound, 0, "no route")
		return false
	}
	x.route = t
	if !t.Public && !x.rules.Config().Open {
		key, _ := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
		if x.account, ok = x.rules.AccountByKey(strings.TrimSpace(key)); !ok {
			x.refuse(http.StatusUnauthorized, 0, "unknown key")
			return false
		}
	}
	x.deadline = x.arrived.Add(t.Timeout)
	if ms, err := strconv.ParseInt(x.r.Header.Get(x.f.cfg.Headers.Deadline), 10, 64); err == nil && ms > 0 {
		if end := x.arrived.Add(time.Duration(ms) * time.Millisecond); end.Before(x.deadline) {
			x.deadline = end
		}
	}
	x.pool, _ = x.rules.Pool(t.Pool(x.lot()))
	x.parse()
	return x.read() && x.charge()
}

// lot returns a number in [0, 1) that is the same for all repeats of a request
// by its caller.
func (x *exchange) lot() float64 {
	sum := sha256.Sum256([]byte(x.r.Header.Get(x.f.cfg.Headers.Attempt) + x.r.RequestURI))
	return float64(uint32(sum[0])<<16|uint32(sum[1])<<8|uint32(sum[2])) / (1 << 24)
}

// parse reads the tokens and the parts of the prompt.
func (x *exchange) parse() {
	prompt, output, _ := strings.Cut(x.r.Header.Get(x.f.cfg.Headers.Usage), ",")
	x.tokens = number(prompt)
	x.output = number(output)
	text := x.r.Header.Get(x.f.cfg.Headers.Parts)
	if text == "" {
		return
	}
	for entry := range strings.SplitSeq(text, ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(entry), ":")
		x.parts = append(x.parts, balancer.Part{ID: id, Tokens: number(size)})
	}
}

// number reads a count; what isn't one is 0, since callers needn't send it.
func number(s string) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// read reads the body.
func (x *exchange) read() bool {
	limit := int64(x.rules.Config().MaxBodyBytes)
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	x.f.cfg.CountBytes(len(body)+headerBytes, 0)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		x.refuse(http.StatusRequestEntityTooLarge, 0, "body too large")
		return false
	}
	if err != nil {
		x.note("unread", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	x.body = body
	sum := sha256.New()
	for _, s := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.account.Name} {
		_, _ = sum.Write([]byte(s + "\n")) // a hash doesn't fail
	}
	_, _ = sum.Write(body) // a hash doesn't fail
	x.digest = hex.EncodeToString(sum.Sum(nil)[:12])
	if x.f.isBlocked(x.digest) {
		x.refuse(http.StatusServiceUnavailable, 0, "the content has crashed several targets")
		return false
	}
	return true
}

// charge reserves what the request may cost.
func (x *exchange) charge() bool {
	if x.account.Tokens == nil || x.tokens+x.output == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(budgetWait, x.deadline.Sub(x.f.cfg.Now())))
	defer cancel()
	begun := x.f.cfg.Now()
	reserve, err := x.f.cfg.Spender.Reserve(ctx, x.account.Name, x.tokens+x.output)
	x.waited = x.f.cfg.Now().Sub(begun)
	if err == nil {
		x.reserve = reserve
		return true
	}
	if fault.Of(err) == fault.Exhausted {
		x.refuse(http.StatusPaymentRequired, 0, err.Error())
	} else {
		silence := x.f.cfg.CoreSilence()
		x.refuse(http.StatusServiceUnavailable, x.limitDelay(), fmt.Sprintf("%v; core instances silent for %v", err, silence.Round(time.Millisecond)))
	}
	return false
}

// limitDelay returns the time after which a higher limit is likely. A silence of
// the core instances lasts about as long again as it has lasted.
func (x *exchange) limitDelay() time.Duration {
	return max(startDelay, min(x.f.cfg.CoreSilence(), maxDelay))
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// strip returns the headers without those that concern one connection.
func strip(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// outgoing returns the headers for a target, but for those of one attempt.
func (x *exchange) outgoing() http.Header {
	names := x.f.cfg.Headers
	h := strip(x.r.Header)
	h.Del("Authorization")
	h.Del(names.Account)
	h.Del(names.Target)
	h.Del(names.Priority)
	for _, name := range names.Reserved {
		h.Del(name)
	}
	if x.account.Name != "" {
		h[http.CanonicalHeaderKey(names.Account)] = []string{x.account.Name}
	}
	if x.pool.Engine != nil && names.Priority != "" {
		h.Set(names.Priority, strconv.Itoa(x.priority()))
	}
	return h
}

// maxPriority is the lowest rank at a target.
const maxPriority = 9

// priority is the rank of the request at its target: that of the account, if it
// has one, before that of the route.
func (x *exchange) priority() int {
	p := x.route.Priority
	if x.account.Priority != nil {
		p = *x.account.Priority
	}
	return min(max(p, 0), maxPriority)
}
