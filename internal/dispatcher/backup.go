package dispatcher

import (
	"io"
	"net/http"
)

// firstReadSize is the size, in bytes, of the buffer for the first read from a
// backup connection.
const firstReadSize = 4096

// backupStream requests the stream of an attempt on a second connection.
type backupStream struct {
	*exchange
	// events receives the response header, then the first data, the end of the
	// body or an error. It is buffered for both.
	events chan backupEvent
}

// backupEvent is a part of the response on a backup connection.
type backupEvent struct {
	response *http.Response
	data     []byte
	err      error
}

// run sends the request. Its second event is the end of the body for a
// non-streaming response and the first data of a stream, after which the
// receiver of the event owns the body.
func (b *backupStream) run(nonStream bool) {
	err := b.open()
	b.events <- backupEvent{response: b.response, err: err}
	if err != nil {
		return
	}
	if nonStream && b.response.StatusCode == http.StatusOK {
		if _, err = io.Copy(io.Discard, b.body); err == nil {
			err = io.EOF
		}
		b.events <- backupEvent{err: err}
		return
	}
	data := make([]byte, firstReadSize)
	n := 0
	for n == 0 && err == nil {
		n, err = b.read(data)
	}
	if n > 0 {
		err = nil // the next read returns the error again
	}
	b.events <- backupEvent{data: data[:n], err: err}
}
