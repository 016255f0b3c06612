package completion

import (
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/fault"
)

// Check must not accept the completion of another prompt, or a truncated or
// altered one: load tests would miss wrong responses to callers.
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
		{"truncated in a word", text[:len(text)-2], fault.Interrupted},
		{"truncated between words", text[:len(text)-len(" end-123456")], fault.Interrupted},
		{"empty", "", fault.Interrupted},
		{"first word of another request", New(prompt, "r2", 1).Text() + text[16:], fault.Interrupted},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Check(prompt, test.text); !errors.Is(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	if !BelongsTo("r1", text) || BelongsTo("r2", text) {
		t.Error("BelongsTo: got the wrong result for r1 or r2, want true only for r1")
	}
}

// An entry instance reserves one token per byte of the messages. With more tokens
// than bytes, the usage would exceed the reservation.
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
