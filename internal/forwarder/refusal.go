package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// maxRefusalBytes is the maximum size of the body of a refusal that is read so
	// that its connection can be used again.
	maxRefusalBytes = 64 << 10
	// refusalTimeout bounds the wait for the body of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// discard ends the exchange of a refusal. Its body holds nothing that is needed.
func (x *exchange) discard(a *exchanger.Response, cancel func()) {
	if !a.Framed {
		a.Close(false)
		return
	}
	timer := time.AfterFunc(refusalTimeout, cancel)
	defer timer.Stop()
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxRefusalBytes+1))
	x.f.cfg.CountBytes(int(n)+headerBytes, 0)
	a.Close(err == nil && n <= maxRefusalBytes)
}

// isRefusal reports whether the target certainly did not run the request. A
// refusal that isn't identified may be that of an earlier request.
func (x *exchange) isRefusal(a *exchanger.Response) bool {
	return a.Identified && x.isMarkedRefused(a)
}

// isMarkedRefused reports whether a response says that its request did not run.
func (x *exchange) isMarkedRefused(a *exchanger.Response) bool {
	return a.Header.Get(x.f.cfg.Headers.Refused) != "" || a.Status == http.StatusMisdirectedRequest
}

// checkPromise returns an error if a response would tell the caller that the
// request did not run, which isn't certain.
func (x *exchange) checkPromise(a *exchanger.Response) error {
	switch {
	case x.isMarkedRefused(a):
		return eris.Wrapf(fault.Malformed, "refusal with status %d may answer an earlier request", a.Status)
	case x.route.Repeatable():
		return nil
	}
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return eris.Wrapf(fault.Malformed, "status %d without a statement that the request was refused", a.Status)
	}
	return nil
}
