package streamer

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// maxEvent is the maximum size of an event, in bytes.
	maxEvent = 1 << 20
	// uncountedBytes is the size up to which an event isn't counted as held. It is more
	// than typical events have.
	uncountedBytes = 16 << 10
)

// Reader reads events from a stream.
type Reader struct {
	reader  *bufio.Reader
	id      []byte
	hasID   bool // of the last event
	content bool // of the last event
	hold    func(n int64) error
}

// New returns a Reader that reads from r.
func New(r io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(r, 2048)}
}

// WithHold returns a reader of the same stream, in place of s, that calls hold before it
// holds more bytes for a long event. An error ends the stream.
func (s *Reader) WithHold(hold func(n int64) error) *Reader {
	copied := *s
	copied.hold = hold
	return &copied
}

// grow returns an event with room for n more bytes.
func (s *Reader) grow(event []byte, n int) ([]byte, error) {
	if len(event)+n <= cap(event) {
		return event, nil
	}
	size := max(2*cap(event), len(event)+n)
	if s.hold != nil && size > uncountedBytes {
		if err := s.hold(int64(size)); err != nil {
			return nil, err
		}
	}
	return append(make([]byte, 0, size), event...), nil
}

// Next returns the next event, including the blank line that ends it. The error
// is io.EOF if the stream ended after a complete event, and wraps
// fault.Interrupted if it broke off.
func (s *Reader) Next() ([]byte, error) {
	var event []byte
	id := s.id
	s.hasID, s.content = false, false
	lineStart := 0
	for len(event) < maxEvent {
		part, err := s.reader.ReadSlice('\n')
		var noRoom error
		if event, noRoom = s.grow(event, len(part)); noRoom != nil {
			return nil, eris.Wrapf(noRoom, "event of more than %d bytes", lineStart)
		}
		event = append(event, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue // the line is longer than the buffer
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) == 0 {
				return nil, io.EOF
			}
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF // io.EOF means a complete stream
			}
			return nil, eris.Wrap(errors.Join(fault.Interrupted, err), "stream was interrupted")
		}
		text := bytes.TrimRight(event[lineStart:], "\r\n")
		lineStart = len(event)
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, s.hasID = bytes.TrimSpace(value), true
		}
		s.content = s.content || isContent(text)
		if len(text) == 0 {
			s.id = bytes.Clone(id)
			return event, nil
		}
	}
	return nil, eris.Wrapf(fault.Malformed, "event exceeds %d bytes", maxEvent)
}

// LastEventID returns the id of the last complete event, or "".
func (s *Reader) LastEventID() string { return string(s.id) }

// HasID reports whether the last event has an id of its own.
func (s *Reader) HasID() bool { return s.hasID }

// HasContent reports whether the last event is more than a comment or a delay for
// reconnections.
func (s *Reader) HasContent() bool { return s.content }

// isContent reports whether a line belongs to the content of an event.
func isContent(line []byte) bool {
	return len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:"))
}
