package gateway

import "testing"

// An event that is relayed without being decoded must not hide the end or the
// failure of a stream.
func TestIsPlain(t *testing.T) {
	for _, test := range []struct {
		event string
		want  bool
	}{
		{`{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}`, true},
		{`{"choices":[{"delta":{"content":"a"}}],"usage":null}`, true},
		{`{"choices":[{"delta":{"content":"the \"usage\": 3"}}]}`, true},
		{`{"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}`, false},
		{`{"choices":[{"delta":{"content":"a"},"finish_reason": "stop"}]}`, false},
		{`{"choices":[{"delta":{"content":"a"},"finish_reason":null},{"finish_reason":"stop"}]}`, false},
		{`{"choices":[{"delta":{"content":"a"},"finish_\u0072eason":"stop"}]}`, false},
		{`{"choices":[],"usage":{"prompt_tokens":1}}`, false},
		{`{"choices":[{"delta":{}}],"usage":{"prompt_tokens":1}}`, false},
		{`{"error":{"message":"x"}}`, false},
		{`{"choices":[{"delta":{}}],"error":{"message":"x"}}`, false},
		{`{"choices":[{"delta":{"content":"a"`, false},
		{`{"choices": [{"delta":{}}]}`, false},
	} {
		if got := isPlain([]byte(test.event)); got != test.want {
			t.Errorf("%s: got %v, want %v", test.event, got, test.want)
		}
	}
}
