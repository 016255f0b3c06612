package exchanger

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// maxHeadBytes is the maximum size of the heads of a response and of the 1xx
	// responses before it.
	maxHeadBytes = 64 << 10
	// uncountedHeadBytes is the size up to which a head isn't counted as held. It is
	// that of the first read and more than most heads have.
	uncountedHeadBytes = 4 << 10
	// headFactor is the memory that a byte of a head may take: a header of a few bytes
	// takes an entry of a map, a list and two strings.
	headFactor = 16
)

// headReader limits and records what is read while the head of a response is due.
type headReader struct {
	net.Conn
	inHead bool
	left   int    // bytes that may still be read in the head
	begun  bool   // bytes have been read since the request
	seen   []byte // read since the start of the head, including bytes after it
	hold   func(n int64) error
}

func (r *headReader) Read(b []byte) (int, error) {
	if r.inHead && r.left <= 0 {
		return 0, eris.Wrapf(fault.Malformed, "response head exceeds %d bytes", maxHeadBytes)
	}
	if r.inHead && r.hold != nil && r.left <= maxHeadBytes-uncountedHeadBytes {
		if err := r.hold(int64(headFactor * len(b))); err != nil {
			return 0, err
		}
	}
	n, err := r.Conn.Read(b)
	r.begun = r.begun || n > 0
	if r.inHead {
		r.left -= n
		r.seen = append(r.seen, b[:n]...)
	}
	return n, err
}

// readHead reads the head of one response and checks it.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // reads nothing, so that it can't fail
	c.head.seen = bytes.Clone(buffered)
	c.head.inHead = true
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, eris.Wrap(err, "read")
	}
	c.head.inHead = false
	raw := c.head.seen[:len(c.head.seen)-c.reader.Buffered()]
	c.head.seen = nil // an idle connection needs no more memory
	return r, checkHead(r, raw)
}

// checkHead returns an error if a head that net/http accepts is none of an HTTP/1
// response, or if it ends HTTP on the connection. It marks a response whose body may end
// elsewhere than its head says, so that its connection isn't used again.
func checkHead(r *http.Response, raw []byte) error {
	switch {
	case r.ProtoMajor != 1:
		return eris.Wrapf(fault.Malformed, "response has protocol %s", r.Proto)
	case strings.ContainsFunc(r.Status, isControl):
		return eris.Wrapf(fault.Malformed, "status %q has control characters", r.Status)
	case r.StatusCode < 100 || r.StatusCode > 599:
		return eris.Wrapf(fault.Malformed, "status %q is not valid", r.Status)
	case hasSpacedName(r.Header):
		return eris.Wrap(fault.Malformed, "header has a name with a space")
	case r.StatusCode == http.StatusSwitchingProtocols:
		return eris.Wrap(fault.Malformed, "response switches the protocol, which no request asks for")
	case r.ProtoMinor > 0 && r.ContentLength >= 0 && r.StatusCode != http.StatusNoContent:
		return nil
	}
	// net/http removes what contradicts the framing that it chooses, and the option
	// "close".
	h, err := parseHeader(raw)
	if err != nil {
		return err
	}
	if options := h["Connection"]; len(options) > 0 {
		r.Header["Connection"] = options
	}
	hasCoding, hasLength := len(h["Transfer-Encoding"]) > 0, len(h["Content-Length"]) > 0
	switch {
	case r.ProtoMinor == 0 && hasCoding:
		return eris.Wrap(fault.Malformed, "HTTP/1.0 response has a Transfer-Encoding")
	case r.StatusCode == http.StatusNoContent:
		r.Close = r.Close || hasCoding || hasLength && h.Get("Content-Length") != "0"
	case hasCoding && hasLength:
		r.Close = true
	}
	return nil
}

// parseHeader parses the header fields of a head.
func parseHeader(raw []byte) (textproto.MIMEHeader, error) {
	t := textproto.NewReader(bufio.NewReader(bytes.NewReader(raw)))
	if _, err := t.ReadLine(); err != nil {
		return nil, eris.Wrap(err, "read status line again")
	}
	h, err := t.ReadMIMEHeader()
	return h, eris.Wrap(err, "read header again") // nil if err is nil
}

// hasSpacedName reports whether the name of a header field has a space. Such a field looks
// like another one to a reader that removes the space, and is unknown to net/http.
func hasSpacedName(h http.Header) bool {
	for name := range h {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}

// isControl reports whether a character may not be in a status line.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// announcesEnd reports whether a response that has no frame says that its connection
// ends after it.
func announcesEnd(r *http.Response) bool {
	for _, line := range r.Header.Values("Connection") {
		for option := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return r.ProtoMinor == 0
}
