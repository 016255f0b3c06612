package completion

import (
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/fault"
)

// A check that takes a foreign, cut or altered answer for a whole one would
// hide a broken promise to a caller.
func TestCheck(t *testing.T) {
	prompt := []byte("user\nhello\n")
	text := New(prompt, "r1", 20).Text()
	for _, test := range []struct {
		name, text string
		want       error
	}{
		{"whole", text, nil},
		{"one token", New(prompt, "r1", 1).Text(), nil},
		{"other prompt", New([]byte("user\nbye\n"), "r1", 20).Text(), fault.Conflict},
		{"cut in a word", text[:len(text)-2], fault.Interrupted},
		{"cut between words", text[:len(text)-len(" end-123456")], fault.Interrupted},
		{"empty", "", fault.Interrupted},
		{"head of another request", New(prompt, "r2", 1).Text() + text[16:], fault.Interrupted},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Check(prompt, test.text); !errors.Is(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	if !BelongsTo("r1", text) || BelongsTo("r2", text) {
		t.Error("the mark of the request id is not recognised")
	}
}

// An entry instance reserves one token per byte of the messages; a tokenizer
// that gives more would let the usage exceed the reserved bound.
func TestTokensNeverExceedBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var messages []map[string]string
		for range rapid.IntRange(1, 4).Draw(t, "messages") {
			messages = append(messages, map[string]string{"role": "user", "content": rapid.String().Draw(t, "content")})
		}
		raw, err := json.Marshal(messages)
		if err != nil {
			t.Fatal(err)
		}
		_, got, err := Prompt(raw, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got > len(raw) {
			t.Errorf("got %d tokens, want at most %d", got, len(raw))
		}
	})
}
