package gateway

import "testing"

// An event that is compared with an earlier one must not pass where the full
// check would refuse it or take it for the end of a stream.
func FuzzPattern(f *testing.F) {
	const learned = `{"request":"r.1","choices":[{"delta":{"content":"a"},"finish_reason":null}]}`
	f.Add([]byte(learned), []byte(`{"request":"r.1","choices":[{"delta":{"content":"b\n"},"finish_reason":null}]}`))
	f.Add([]byte(learned), []byte(`{"request":"r.1","choices":[{"delta":{"content":"\"},"finish_reason":null}]}`))
	f.Add([]byte(`{"choices":[{"content":""}],"content":"x"}`), []byte(`{"choices":[{"content":"\\"}],"content":"x"}`))
	f.Fuzz(func(t *testing.T, learned, event []byte) {
		if !isPlain(learned) {
			return
		}
		var p pattern
		p.learn(learned)
		if p.matches(event) && !isPlain(event) {
			t.Errorf("%q matches %q but is not plain", event, learned)
		}
	})
}
