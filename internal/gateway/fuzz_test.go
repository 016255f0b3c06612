package gateway

import "testing"

// An event that matches the template must also pass the full check, and must not
// be the end of a stream.
func FuzzPattern(f *testing.F) {
	const learned = `{"request":"r.1","choices":[{"delta":{"content":"a"},"finish_reason":null}]}`
	f.Add([]byte(learned), []byte(`{"request":"r.1","choices":[{"delta":{"content":"b\n"},"finish_reason":null}]}`))
	f.Add([]byte(learned), []byte(`{"request":"r.1","choices":[{"delta":{"content":"\"},"finish_reason":null}]}`))
	f.Add([]byte(`{"choices":[{"content":""}],"content":"x"}`), []byte(`{"choices":[{"content":"\\"}],"content":"x"}`))
	f.Fuzz(func(t *testing.T, learned, event []byte) {
		if !isContentOnly(learned) {
			return
		}
		var p eventTemplate
		p.learn(learned)
		if p.matches(event) && !isContentOnly(event) {
			t.Errorf("%q matches the template of %q but is not content-only", event, learned)
		}
	})
}
