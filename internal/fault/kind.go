package fault

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"
)

// Kind classifies an error. The zero value is not a valid kind.
type Kind int

// All kinds.
const (
	// Malformed is a request, configuration or setting that can't be read.
	Malformed Kind = iota + 1
	// Unauthorized is a missing or unknown key.
	Unauthorized
	// Forbidden is a model, service or target that the account may not use.
	Forbidden
	// Missing is a name that doesn't exist.
	Missing
	// Conflict is an identity or a version that was already used with different
	// content.
	Conflict
	// Answered is a retry of a request that ran and was billed, and whose
	// response is no longer stored.
	Answered
	// Exhausted is a budget with too few unspent tokens.
	Exhausted
	// Closed is a venture that has not started yet, is dissolving or has ended.
	Closed
	// Poison is a request whose content has crashed several targets.
	Poison
	// Crashed is a request that itself crashed several targets.
	Crashed
	// Overloaded is a full queue or a wait that would be too long.
	Overloaded
	// Draining is an instance that is shutting down.
	Draining
	// Unavailable is a request for which no target or ledger is ready.
	Unavailable
	// Isolated is an action that needs the quorum while the quorum is unreachable.
	Isolated
	// Expired is a deadline that passed before the request was sent.
	Expired
	// Unsettled is a request that ran but whose bill may not be stored: the
	// ledger rejected it or didn't respond in time.
	Unsettled
	// Interrupted is a truncated response; it is not billed.
	Interrupted
	// Uncertain is a request that may have run.
	Uncertain
	// Fenced is a call from an incarnation that has been replaced.
	Fenced
	// Corrupt is a file that can't be read back or written safely.
	Corrupt
	// Broken is a violated invariant of the books or the log.
	Broken
	// Internal is any other error.
	Internal
)

// Values of the field run in an error response.
const (
	runNo    = "no"
	runYes   = "yes"
	runMaybe = "maybe"
)

type row struct {
	code  string
	text  string
	http  int
	run   string
	exit  int
	level zapcore.Level
	retry time.Duration
}

var table = map[Kind]row{
	Malformed:    {"malformed", "the request can't be read", http.StatusBadRequest, runNo, 2, zapcore.InfoLevel, 0},
	Unauthorized: {"unauthorized", "the key is missing or unknown", http.StatusUnauthorized, runNo, 3, zapcore.InfoLevel, 0},
	Forbidden:    {"forbidden", "the account is not allowed to use this", http.StatusForbidden, runNo, 3, zapcore.InfoLevel, 0},
	Missing:      {"missing", "not found", http.StatusNotFound, runNo, 4, zapcore.InfoLevel, 0},
	Conflict:     {"conflict", "the identity or version was already used with different content", http.StatusConflict, runNo, 5, zapcore.InfoLevel, 0},
	Answered:     {"answered", "the request ran and was billed; its response is no longer stored", http.StatusConflict, runYes, 5, zapcore.InfoLevel, 0},
	Exhausted:    {"exhausted", "the prepaid budget is too small for the request", http.StatusPaymentRequired, runNo, 6, zapcore.InfoLevel, 0},
	Closed:       {"closed", "the venture is not open", http.StatusForbidden, runNo, 6, zapcore.InfoLevel, 0},
	Poison:       {"poison", "the same content crashed several targets", http.StatusUnprocessableEntity, runNo, 6, zapcore.WarnLevel, 0},
	Crashed:      {"crashed", "the request crashed the targets that ran it", http.StatusUnprocessableEntity, runMaybe, 6, zapcore.WarnLevel, 0},
	Overloaded:   {"overloaded", "too many requests are waiting", http.StatusTooManyRequests, runNo, 7, zapcore.InfoLevel, time.Second},
	Draining:     {"draining", "the instance is shutting down", http.StatusServiceUnavailable, runNo, 7, zapcore.InfoLevel, time.Second},
	Unavailable:  {"unavailable", "no target or ledger is ready", http.StatusServiceUnavailable, runNo, 7, zapcore.WarnLevel, time.Second},
	Isolated:     {"isolated", "the quorum is unreachable", http.StatusServiceUnavailable, runNo, 7, zapcore.WarnLevel, 2 * time.Second},
	Expired:      {"expired", "the deadline passed before the request was sent", http.StatusGatewayTimeout, runNo, 7, zapcore.InfoLevel, 0},
	Unsettled:    {"unsettled", "the request ran, but its bill may not be stored; a retry with the same Idempotency-Key is billed once", http.StatusServiceUnavailable, runYes, 7, zapcore.WarnLevel, time.Second},
	Interrupted:  {"interrupted", "the response was truncated; it is not billed", http.StatusBadGateway, runYes, 7, zapcore.WarnLevel, 0},
	Uncertain:    {"uncertain", "the request may have run", http.StatusGatewayTimeout, runMaybe, 7, zapcore.WarnLevel, 0},
	Fenced:       {"fenced", "the incarnation has been replaced", http.StatusServiceUnavailable, runNo, 7, zapcore.WarnLevel, time.Second},
	Corrupt:      {"corrupt", "stored data can't be read or written safely", http.StatusServiceUnavailable, runNo, 8, zapcore.ErrorLevel, 5 * time.Second},
	Broken:       {"broken", "an invariant is violated", http.StatusInternalServerError, runNo, 8, zapcore.ErrorLevel, 0},
	Internal:     {"internal", "internal error", http.StatusInternalServerError, runMaybe, 1, zapcore.ErrorLevel, 0},
}

// Of returns the kind that err wraps, or Internal if it wraps none. The error
// must not be nil.
func Of(err error) Kind {
	var k Kind
	if errors.As(err, &k) {
		return k
	}
	return Internal
}

// Detail returns the text of err without the text of its kind at the end. It is
// empty if err is a Kind.
func Detail(err error) string {
	text := strings.TrimSuffix(err.Error(), Of(err).Error())
	return strings.TrimSuffix(text, ": ")
}

// Parse returns the kind with the given code, or Internal if there is none.
func Parse(code string) Kind {
	for k, r := range table {
		if r.code == code {
			return k
		}
	}
	return Internal
}

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := Malformed; k <= Internal; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error returns the text of the kind. It makes Kind an error.
func (k Kind) Error() string { return k.row().text }

// Code returns the stable, machine-readable code in error responses.
func (k Kind) Code() string { return k.row().code }

// HTTPStatus returns the HTTP status code of the error response.
func (k Kind) HTTPStatus() int { return k.row().http }

// Ran returns whether the request ran: "no", "yes" or "maybe".
func (k Kind) Ran() string { return k.row().run }

// ExitCode returns the exit code of an operator's command.
func (k Kind) ExitCode() int { return k.row().exit }

// Level returns the level at which the error is logged.
func (k Kind) Level() zapcore.Level { return k.row().level }

// RetryDelay returns the delay for the Retry-After header, or 0 if a retry
// doesn't help.
func (k Kind) RetryDelay() time.Duration { return k.row().retry }

func (k Kind) row() row {
	r, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return r
}
