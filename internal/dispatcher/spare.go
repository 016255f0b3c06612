package dispatcher

import (
	"io"
	"net/http"
)

// spareSize is the size of the first part of an answer that is read from a
// spare connection, in bytes.
const spareSize = 4096

// spare asks on a second connection for the stream of an attempt.
type spare struct {
	*exchange
	// events receives the response first, then what tells about the run, or an
	// error. It has room for both.
	events chan event
}

// event is a part of the answer on a spare connection.
type event struct {
	response *http.Response
	data     []byte
	err      error
}

// run sends the request. If the run is awaited as a whole, the part after the
// response is the end of the answer, else its first data, after which the
// receiver owns the body.
func (s *spare) run(whole bool) {
	err := s.open()
	s.events <- event{response: s.response, err: err}
	if err != nil {
		return
	}
	if whole && s.response.StatusCode == http.StatusOK {
		if _, err = io.Copy(io.Discard, s.body); err == nil {
			err = io.EOF
		}
		s.events <- event{err: err}
		return
	}
	data := make([]byte, spareSize)
	n := 0
	for n == 0 && err == nil {
		n, err = s.read(data)
	}
	if n > 0 {
		err = nil // the next read returns it again
	}
	s.events <- event{data: data[:n], err: err}
}
