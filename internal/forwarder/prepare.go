package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/detector"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/limiter"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/spender"
	"github.com/papayapond/papayapond/internal/tracker"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

const (
	// reserveTimeout bounds the wait for a higher quota. It allows for two
	// calls to the leader.
	reserveTimeout = 600 * time.Millisecond
	// startupRetryAfter is the time in which an instance is expected to get a
	// ruleset, or a leader to be elected.
	startupRetryAfter = 700 * time.Millisecond
	// maxRetryAfter bounds the retry delay while the core instances are
	// unreachable.
	maxRetryAfter = 4 * time.Second
	// defaultMaxBodyBytes limits the request body if the ruleset sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// exchange is the state of one proxied request.
type exchange struct {
	f         *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	arrived   time.Time
	deadline  time.Time
	firstByte time.Time // first byte of the response
	tracked   *tracker.Request

	rules   *ruleset.Ruleset
	route   route.Route
	account prepaid.Prepaid
	pool    pool.Pool
	hold    *limiter.Hold // bytes held for the request
	body    []byte
	digest  string
	content detector.Content

	parts       []balancer.Part
	tokens      int64 // of the prompt
	output      int64 // maximum output tokens
	reservation *spender.Reservation

	targetHeader http.Header // sent to the target
	pickFields   []zap.Field // log fields of the last target
	tried        map[string]bool
	sends        int    // attempts, including failed connections
	runs         int    // attempts that a target may have run
	sending      bool   // the request is being sent to a target; set during a panic if that isn't known
	unstarted    int    // those of them that were canceled before the target sent anything
	events       int    // relayed to the caller
	started      bool   // the last target has sent a response header
	limit        string // named by the last target
	// attemptEvents is the number of events of the last target.
	attemptEvents int
	heard         time.Time          // last event of the last target, or the start of its attempt
	stalled       bool               // the last attempt was canceled because its target was silent
	silentTarget  string             // target of that attempt, to which the stream may return
	silentRan     bool               // that target counts as one that has run the request
	secured       *replacement       // target that was chosen before that attempt was canceled
	returnCounted time.Time          // time at which the retry for the return was taken; zero if none is held
	mustReturn    bool               // the budget has no other retry than that one
	denied        string             // why no other target gets the request; "" if one may
	cancel        context.CancelFunc // of the last attempt
	canceled      atomic.Bool        // the content was blocked during the attempt
	blockedBy     []string           // keys of the block that refuses the request
	headerSent    bool
	outcome       string        // as logged; "" until the request has ended
	passedOn      bool          // a response that isn't a stream was relayed before its end
	eventHeld     int64         // bytes held for an event
	status        int           // sent to the caller; 0 if none
	quotaWait     time.Duration // time spent waiting for quota
	lastEventID   string        // id of the last relayed event
	sequence      sequence      // of the events of a stream
	version       *string       // software version that the stream is bound to; nil if none
}

// prepare authenticates and reads the request and reserves its tokens. If the
// request is rejected, it sends the response and returns false.
func (x *exchange) prepare() bool {
	x.rules = x.f.rules.Load()
	if x.rules == nil {
		x.reject(http.StatusServiceUnavailable, startupRetryAfter, "no ruleset is known")
		return false
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	t, ok := x.rules.Match(x.r.Host, path)
	if !ok {
		x.reject(http.StatusNotFound, 0, "no matching route")
		return false
	}
	x.route = t
	if !t.Public && !x.rules.Config().Open {
		key, _ := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
		if x.account, ok = x.rules.AccountByKey(strings.TrimSpace(key)); !ok {
			x.reject(http.StatusUnauthorized, 0, "unknown key")
			return false
		}
	}
	x.deadline = x.arrived.Add(t.Timeout)
	// Longer times don't count, and may exceed the range of a duration.
	if ms, err := strconv.ParseInt(x.r.Header.Get(x.f.cfg.Headers.Deadline), 10, 64); err == nil && ms > 0 && ms <= t.Timeout.Milliseconds() {
		x.deadline = x.arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	x.pool, _ = x.rules.Pool(t.Pool(x.splitPosition()))
	x.parsePrompt()
	return x.readBody() && x.checkStop() && x.traceOrigin() && x.checkRest() && x.reserveTokens()
}

// splitPosition returns a number in [0, 1) that is the same for a stream and the
// requests that take it up.
func (x *exchange) splitPosition() float64 {
	sum := sha256.Sum256([]byte(x.originAttempt() + x.r.RequestURI))
	return float64(uint32(sum[0])<<16|uint32(sum[1])<<8|uint32(sum[2])) / (1 << 24)
}

// parsePrompt parses the token counts and the parts of the prompt.
func (x *exchange) parsePrompt() {
	prompt, output, _ := strings.Cut(x.r.Header.Get(x.f.cfg.Headers.Usage), ",")
	x.tokens = parseCount(prompt)
	x.output = parseCount(output)
	text := x.r.Header.Get(x.f.cfg.Headers.Parts)
	if text == "" {
		return
	}
	for entry := range strings.SplitSeq(text, ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(entry), ":")
		x.parts = append(x.parts, balancer.Part{ID: id, Tokens: parseCount(size)})
	}
}

// partIDs returns the ids of the parts of the prompt.
func (x *exchange) partIDs() []string {
	ids := make([]string, len(x.parts))
	for i, p := range x.parts {
		ids[i] = p.ID
	}
	return ids
}

// maxCount bounds a number of tokens. It is more than any budget, and sums of as many
// counts as a header holds stay in range.
const maxCount = 1 << 40

// parseCount parses a non-negative integer. Invalid or missing values are 0,
// since the headers are optional. Larger ones than maxCount count as that: as 0 they
// would be free of charge.
func parseCount(s string) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64) // n is the nearest number if s is out of range
	if err != nil && !errors.Is(err, strconv.ErrRange) || n < 0 {
		return 0
	}
	return min(n, maxCount)
}

// readBody reads the body, computes the content digest and rejects blocked
// content.
func (x *exchange) readBody() bool {
	limit := int64(x.rules.Config().MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := x.receiveBody(limit)
	x.f.cfg.CountBytes(len(body)+headerBytes, 0)
	if err != nil {
		x.rejectBody(err)
		return false
	}
	x.tracked.SetDeadline(x.deadline)
	x.body = body
	sum := sha256.New()
	names := x.f.cfg.Headers
	for _, s := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.account.Name, x.r.Header.Get(names.Usage), x.r.Header.Get(names.Parts)} {
		_, _ = sum.Write([]byte(s + "\n")) // a hash doesn't fail
	}
	_, _ = sum.Write(body) // a hash doesn't fail
	x.digest = hex.EncodeToString(sum.Sum(nil)[:12])
	x.content = x.newContent()
	if x.isBlocked() {
		x.reject(http.StatusServiceUnavailable, blockedRetryAfter, errBlocked.Error())
		return false
	}
	return true
}

// reserveTokens reserves the maximum number of tokens the request can use.
func (x *exchange) reserveTokens() bool {
	if x.account.Tokens == nil || x.tokens+x.output == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(reserveTimeout, x.end().Sub(x.f.cfg.Now())))
	defer cancel()
	begun := x.f.cfg.Now()
	reserve, err := x.f.cfg.Spender.Reserve(ctx, x.account.Name, x.tokens+x.output)
	x.quotaWait = x.f.cfg.Now().Sub(begun)
	if err == nil {
		x.reservation = reserve
		return true
	}
	if fault.Of(err) == fault.Exhausted {
		x.reject(http.StatusPaymentRequired, 0, err.Error())
	} else {
		silence := x.f.cfg.CoreSilence()
		x.reject(http.StatusServiceUnavailable, x.quotaRetryAfter(), fmt.Sprintf("%v; core instances unreachable for %v", err, silence.Round(time.Millisecond)))
	}
	return false
}

// quotaRetryAfter returns the expected time until a higher quota is available.
// An outage of the core instances is assumed to last as long again as it
// already has.
func (x *exchange) quotaRetryAfter() time.Duration {
	return max(startupRetryAfter, min(x.f.cfg.CoreSilence(), maxRetryAfter))
}

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// withoutHopHeaders returns a copy of h without hop-by-hop headers.
func withoutHopHeaders(h http.Header) http.Header {
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

// targetHeaders returns the headers sent to every target, without those
// specific to one attempt.
func (x *exchange) targetHeaders() http.Header {
	names := x.f.cfg.Headers
	h := withoutHopHeaders(x.r.Header)
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

// maxPriority is the numerically highest, least urgent priority.
const maxPriority = 9

// priority returns the priority of the request at the target. The account's
// priority overrides that of the route.
func (x *exchange) priority() int {
	p := x.route.Priority
	if x.account.Priority != nil {
		p = *x.account.Priority
	}
	return min(max(p, 0), maxPriority)
}
