package streamer

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// maxEvent bounds an event, in bytes.
const maxEvent = 1 << 20

// Reader reads one stream.
type Reader struct {
	reader *bufio.Reader
	read   int // bytes
	id     []byte
}

// New returns a streamer.
func New(r io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(r, 2048)}
}

// Next returns the bytes of the next event with the empty line that ends it.
// The error is io.EOF after the last event of a stream that has ended with a
// whole event; it wraps fault.Interrupted if the stream broke off.
func (s *Reader) Next() ([]byte, error) {
	var event []byte
	id := s.id
	for len(event) < maxEvent {
		line, err := s.reader.ReadBytes('\n')
		event = append(event, line...)
		s.read += len(line)
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) == 0 {
				return nil, io.EOF
			}
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF // io.EOF is the end after a whole event
			}
			return nil, eris.Wrap(errors.Join(fault.Interrupted, err), "stream breaks off")
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = bytes.TrimSpace(value)
		}
		if len(text) == 0 {
			s.id = bytes.Clone(id)
			return event, nil
		}
	}
	return nil, eris.Wrapf(fault.Malformed, "an event is longer than %d bytes", maxEvent)
}

// LastEventID returns the id of the last event, or "".
func (s *Reader) LastEventID() string { return string(s.id) }

// IsEmpty reports whether not a byte of an event has been read.
func (s *Reader) IsEmpty() bool { return s.read == 0 }
