package gateway

import "testing"

// An event of another request must be recognised in each form in which an
// engine writes its identity, and the text of an answer must not be taken for
// one.
func TestIsForeign(t *testing.T) {
	r := &relay{attempt: "r.1"}
	for _, test := range []struct {
		event string
		want  bool
	}{
		{`{"request":"r.1","choices":[]}`, false},
		{`{"request": "r.1","choices":[]}`, false},
		{`{"request":"r.2","choices":[]}`, true},
		{`{"request": "r.10","choices":[]}`, true},
		{`{"choices":[]}`, false},
		{`{"choices":[{"delta":{"content":"{\"request\":\"x\"}"}}]}`, false},
		{`{"request":null,"choices":[]}`, false},
	} {
		if got := r.isForeign([]byte(test.event)); got != test.want {
			t.Errorf("%s: got %v, want %v", test.event, got, test.want)
		}
	}
}
