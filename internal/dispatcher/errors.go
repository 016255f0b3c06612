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

// refuse tells the truth about a job that has no answer: the given kind if no
// attempt was sent, else fault.Uncertain, or fault.Crashed if the content was
// blocked meanwhile.
func refuse(kind fault.Kind, sent bool, cause error) error {
	switch {
	case sent && kind == fault.Poison:
		kind = fault.Crashed
	case sent:
		kind = fault.Uncertain
	}
	if cause == nil {
		return eris.Wrap(kind, "dispatch")
	}
	return eris.Wrapf(kind, "last attempt: %v", cause)
}

// isFinal tells whether an error says that another target would answer the
// same.
func isFinal(err error) bool {
	var k fault.Kind
	return errors.As(err, &k) && k != fault.Internal
}

// isRefusal tells whether a target answered that it did not run the request.
func isRefusal(err error) bool {
	var r refusal
	return errors.As(err, &r)
}

// isDial tells whether an error came before a connection stood, so that no
// byte can have reached the target.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isCrash tells whether a connection broke as it does when the process at the
// other end dies.
func isCrash(err error) bool {
	return !isDial(err) && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "server closed idle connection"))
}

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
