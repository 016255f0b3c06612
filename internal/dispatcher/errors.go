package dispatcher

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// jobError returns the error of a job that got no response. It wraps kind if no
// attempt was sent, fault.Crashed if one was sent and the content has since
// been blocked, and fault.Uncertain otherwise.
func jobError(kind fault.Kind, sent bool, lastErr error) error {
	switch {
	case sent && kind == fault.Poison:
		kind = fault.Crashed
	case sent:
		kind = fault.Uncertain
	}
	if lastErr == nil {
		return eris.Wrap(kind, "dispatch")
	}
	return eris.Wrapf(kind, "last attempt: %v", lastErr)
}

// isFinal reports whether another target would return the same error.
func isFinal(err error) bool {
	var k fault.Kind
	return errors.As(err, &k) && k != fault.Internal
}

// isRefusal reports whether the target responded that it did not run the
// request.
func isRefusal(err error) bool {
	var r refusal
	return errors.As(err, &r)
}

// isDialError reports whether err occurred before a connection was established,
// so that no byte can have reached the target.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isCrash reports whether a connection broke in the way it does when the remote
// process dies.
func isCrash(err error) bool {
	return !isDialError(err) && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "server closed idle connection"))
}

// sleep pauses for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
