package forwarder

import (
	"net/http"

	"go.uber.org/zap"
)

// recoverPanic ends a request whose handler panics. It must be deferred. What was sent
// before decides what the caller gets: a refusal only if no target has run the request,
// an error if one may have, and a closed connection in place of the rest of an answer.
func (x *exchange) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler { //nolint:errorlint // net/http compares it like this
		panic(v)
	}
	if x.sending {
		// It isn't known how much the target has got.
		x.sending = false
		x.sends++
		x.runs++
	}
	fields := []zap.Field{zap.String("request", x.requestID()), zap.String("route", x.route.Name), zap.String("account", x.account.Name)}
	x.f.cfg.Recoverer.Report("request", v, append(fields, x.pickFields...)...)
	x.endPanic()
}

// endPanic sends what can still be sent to the caller.
func (x *exchange) endPanic() {
	switch {
	case x.outcome == "answered", x.outcome == "refused":
		return // the answer is complete
	case x.outcome != "":
		panic(http.ErrAbortHandler)
	case x.headerSent:
		x.finish("cut", zap.Bool("panic", true))
		panic(http.ErrAbortHandler)
	}
	clear(x.w.Header()) // those of a target's answer
	if x.runs == 0 {
		x.reject(http.StatusServiceUnavailable, busyRetryAfter, "the request ended with a panic")
	} else {
		x.reject(http.StatusInternalServerError, 0, "the request ended with a panic")
	}
}
