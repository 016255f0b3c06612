package forwarder

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
)

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
