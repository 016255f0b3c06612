package forwarder

import (
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
)

// checkEnd returns an error if a body that has been read to its end may have been cut
// there. Without a frame, a body ends with its connection, as it does when its target
// ends. It counts as whole only if the target has announced that end, and not without
// any content.
func checkEnd(a *exchanger.Response, body []byte) error {
	switch {
	case a.Framed:
		return nil
	case len(body) == 0:
		return eris.Wrap(fault.Interrupted, "response has neither a length nor a body, and ended with its connection")
	case !a.AnnouncesEnd:
		return eris.Wrap(fault.Interrupted, "response without a length ended with its connection, which wasn't announced")
	}
	return nil
}

// checkStreamEnd is checkEnd for a stream. An end after a whole event counts as that of the
// stream even if it wasn't announced: engines exist that frame no stream.
func checkStreamEnd(a *exchanger.Response, hasContent bool) error {
	if !a.Framed && !hasContent {
		return eris.Wrap(fault.Interrupted, "stream ended with its connection and has no event")
	}
	return nil
}

// frame sets the headers that tell the end of a complete response.
func (x *exchange) frame(a *exchanger.Response, size int) {
	h := x.w.Header()
	switch {
	case a.Status == http.StatusNoContent, a.Status == http.StatusNotModified:
	case x.r.Method == http.MethodHead:
		// The length is that of the body of another response.
		if length := a.Header.Get("Content-Length"); length != "" {
			h.Set("Content-Length", length)
		}
	case a.Framed:
		h.Set("Content-Length", strconv.Itoa(size))
	default:
		// The response ends with its connection, as that of the target did: a frame
		// would say that it is certainly whole. This value keeps net/http from adding
		// one.
		h.Set("Transfer-Encoding", "identity")
	}
}
