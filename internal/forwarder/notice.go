package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/exchanger"
)

// recordNotices records what a target says about further requests in the answer to a
// request that was sent at a time: its limit, that it is leaving, or that it wants none
// for a while. Another target at the address says nothing about this one.
func (x *exchange) recordNotices(a *exchanger.Response, pick *balancer.Pick, sent time.Time) {
	x.limit = a.Header.Get(x.f.cfg.Headers.Limit)
	x.f.cfg.Regulator.Observe(pick.Lifetime(), x.limit, sent)
	if a.Status == http.StatusMisdirectedRequest {
		return
	}
	if leaving, err := strconv.ParseBool(strings.TrimSpace(a.Header.Get(x.f.cfg.Headers.Leaving))); err == nil && leaving {
		pick.MarkLeaving()
	}
	if a.Status != http.StatusServiceUnavailable {
		return
	}
	if d := parseRetryAfter(a.Header.Get("Retry-After")); d > 0 {
		pick.MarkResting(d)
	}
}

// parseRetryAfter parses a number of seconds, which may have a fraction. It returns 0
// for other values, such as a date, and the longest duration for larger ones.
func parseRetryAfter(s string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	switch {
	case err != nil, math.IsNaN(seconds), math.IsInf(seconds, 0), seconds <= 0:
		return 0
	case seconds >= math.MaxInt64/float64(time.Second):
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

// checkRest rejects a request at once if all targets of its pool rest.
func (x *exchange) checkRest() bool {
	rest, all := x.f.cfg.Balancer.UntilRest(x.pool.Name)
	if all {
		x.reject(http.StatusServiceUnavailable, max(rest, busyRetryAfter), "all targets of pool "+x.pool.Name+" want no requests for a time")
	}
	return !all
}

// untilTarget returns the time in which a target is likely to accept a request that
// none has run.
func (x *exchange) untilTarget() time.Duration {
	rest, _ := x.f.cfg.Balancer.UntilRest(x.pool.Name)
	return max(rest, busyRetryAfter)
}
