package dispatcher

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// checkStatus rejects status codes that net/http reads but doesn't write, and 101: no
// request asks for another protocol.
func checkStatus(r *http.Response) error {
	if r.StatusCode < http.StatusOK || r.StatusCode > 599 {
		return eris.Wrapf(fault.Internal, "response has status %d", r.StatusCode)
	}
	return nil
}

// openBody reads a body that only the end of its connection delimits, which may be the
// end of the target. It is not whole if it is empty. One that was cut later can't be told
// from a whole one: net/http drops the option "close" of the header.
type openBody struct {
	io.ReadCloser
	hasBytes bool
}

// newOpenBody returns the body of a response that isn't a stream, whose events tell
// where it ends.
func newOpenBody(r *http.Response, body io.ReadCloser) io.ReadCloser {
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead {
		return body
	}
	return &openBody{ReadCloser: body}
}

// Read implements io.Reader.
func (b *openBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.hasBytes = b.hasBytes || n > 0
	if err == io.EOF && !b.hasBytes {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
