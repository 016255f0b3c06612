package gateway

import (
	"bytes"
	"encoding/json"
	"io"
)

// flushingReader reads the body of a stream. It flushes the relay before each
// read, so that events that arrive together are sent together.
type flushingReader struct {
	relay *relay
	body  io.Reader
}

// Read flushes the relay and reads from the body.
func (f flushingReader) Read(p []byte) (int, error) {
	if f.relay.flush(); f.relay.callerErr != nil {
		return 0, f.relay.callerErr
	}
	return f.body.Read(p)
}

// stateKeys are the members of an event that change the state of a stream.
var stateKeys = [][]byte{[]byte(`"error"`), []byte(`"usage"`), []byte(`"finish_reason"`)}

var (
	choicesStart  = []byte(`"choices":[{`)
	nullValue     = []byte(`:null`)
	unicodeEscape = []byte(`\u`)
)

// contentStart precedes the text of an event.
var contentStart = []byte(`"content":"`)

// eventTemplate holds the bytes before and after the text of an event. Most
// events of a stream differ only in their text.
type eventTemplate struct{ before, after []byte }

// learn sets the template from an event that is valid, content-only and of this
// request. The contentStart found is not inside a string, in which its quotes
// would be escaped.
func (p *eventTemplate) learn(event []byte) {
	start := bytes.Index(event, contentStart)
	if start < 0 {
		return
	}
	start += len(contentStart)
	end := start + textLength(event[start:])
	p.before, p.after = append(p.before[:0], event[:start]...), append(p.after[:0], event[end:]...)
}

// matches reports whether an event equals the learned one in everything but its
// text. If so, it is valid, content-only and of the same request.
func (p *eventTemplate) matches(event []byte) bool {
	if len(p.after) == 0 || len(event) < len(p.before)+len(p.after) || !bytes.HasPrefix(event, p.before) || !bytes.HasSuffix(event, p.after) {
		return false
	}
	text := event[len(p.before) : len(event)-len(p.after)]
	return textLength(text) == len(text)
}

// textLength returns the number of bytes before the end of a JSON string, or
// before the first escape that isn't a single-character one.
func textLength(b []byte) int {
	for i := 0; i < len(b); i++ {
		switch {
		case b[i] == '"' || b[i] < ' ':
			return i
		case b[i] != '\\':
		case i+1 < len(b) && bytes.IndexByte([]byte(`"\/bfnrt`), b[i+1]) >= 0:
			i++
		default:
			return i
		}
	}
	return len(b)
}

// isContentOnly reports whether an event of a stream is valid and certainly has
// a choice but no error, usage or finish reason, so that it can be relayed
// without decoding. Nearly all events are of this kind, and decoding them took a
// fifth of the CPU time of a stream. A key can't be hidden: quotes in a string
// are escaped, and events with Unicode escapes are not accepted.
func isContentOnly(data []byte) bool {
	if !bytes.Contains(data, choicesStart) || bytes.Contains(data, unicodeEscape) {
		return false
	}
	for _, key := range stateKeys {
		for rest := data; ; {
			i := bytes.Index(rest, key)
			if i < 0 {
				break
			}
			rest = rest[i+len(key):]
			if !bytes.HasPrefix(rest, nullValue) {
				return false
			}
		}
	}
	return json.Valid(data)
}
