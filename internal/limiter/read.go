package limiter

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// firstBytes is held first for a body of unknown length. Most of them are smaller.
const firstBytes = 4 << 10

// Read reads a body of a known length, or of an unknown one if it is negative, and at
// most one byte more than most. It calls take, which takes bytes of h, before it holds
// them; if that fails, it returns what it has read. The capacity of the body is held.
func (h *Hold) Read(r io.Reader, length, most int64, take func(n int64) error) ([]byte, error) {
	size := length
	if length < 0 {
		size = firstBytes
	}
	if err := take(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil || int64(len(body)) > most {
			return body, err
		}
		if len(body) < cap(body) {
			continue
		}
		if int64(len(body)) == length {
			return body, readEnd(r)
		}
		size = min(2*int64(cap(body)), most+1)
		if err := take(size); err != nil {
			return body, err
		}
		old := body
		body = append(make([]byte, 0, size), old...)
		h.Give(int64(cap(old)))
	}
}

// readEnd reads the end of a body that has its length already.
func readEnd(r io.Reader) error {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = eris.Wrap(fault.Malformed, "body exceeds its length")
	}
	return err
}
