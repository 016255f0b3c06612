package completion

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// bytesPerToken is the usual ratio for English text.
	bytesPerToken = 4
	// tokensPerMessage is what the chat template adds to each message.
	tokensPerMessage = 4
	// markBytes is the length of each half of the first word before encoding.
	markBytes = 4
	// tailBytes is the length of the checksum in the last word.
	tailBytes = 3
	tailWord  = "end-"
)

const (
	consonants = "bcdfghjklmnprstv"
	vowels     = "aeio"
)

// Completion is the answer to one request. It is immutable.
type Completion struct {
	seed [sha256.Size]byte
	head string
	size int
}

// New returns the completion of the given number of tokens, at least one, to
// a prompt. The request id goes into the first word alone, so that a caller
// that doesn't know the id can still check the rest.
func New(prompt []byte, request string, tokens int) Completion {
	id := sha256.Sum256([]byte(request))
	digest := sha256.Sum256(prompt)
	return fromHead(digest, hex.EncodeToString(id[:markBytes])+hex.EncodeToString(digest[:markBytes]), max(tokens, 1))
}

// Prompt returns the text that the engine sees for the messages and tools of
// a request, and its number of tokens. Messages is the JSON array of the
// request; tools may be empty. The count never exceeds the number of bytes of
// both.
func Prompt(messages, tools json.RawMessage) (text []byte, tokens int, err error) {
	var list []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(messages, &list); err != nil {
		return nil, 0, eris.Wrapf(fault.Malformed, "messages: %v", err)
	}
	if len(list) == 0 {
		return nil, 0, eris.Wrap(fault.Malformed, "messages: empty")
	}
	var b bytes.Buffer
	b.Write(tools)
	tokens = Tokens(len(tools))
	for _, m := range list {
		content, err := flatten(m.Content)
		if err != nil {
			return nil, 0, err
		}
		b.WriteString(m.Role + "\n" + content + "\n")
		tokens += tokensPerMessage + Tokens(len(content))
	}
	return b.Bytes(), tokens, nil
}

// Tokens returns the number of tokens of a text of the given length in bytes.
func Tokens(size int) int { return (size + bytesPerToken - 1) / bytesPerToken }

// Check reports whether text is a whole answer to the prompt. The error wraps
// fault.Conflict for an answer to another prompt and fault.Interrupted for an
// answer that is cut off or altered.
func Check(prompt []byte, text string) error {
	words := strings.Split(text, " ")
	digest := sha256.Sum256(prompt)
	mark := hex.EncodeToString(digest[:markBytes])
	if len(words[0]) != 4*markBytes {
		return eris.Wrap(fault.Interrupted, "the first word is cut off")
	}
	if !strings.HasSuffix(words[0], mark) {
		return eris.Wrapf(fault.Conflict, "answer to another prompt: got mark %s, want %s", words[0][2*markBytes:], mark)
	}
	c := fromHead(digest, words[0], len(words))
	for i, got := range words {
		if want := c.Word(i); got != want {
			return eris.Wrapf(fault.Interrupted, "word %d of %d: got %q, want %q", i, len(words), got, want)
		}
	}
	return nil
}

// BelongsTo reports whether text starts with the mark of the request id.
func BelongsTo(request, text string) bool {
	id := sha256.Sum256([]byte(request))
	return strings.HasPrefix(text, hex.EncodeToString(id[:markBytes]))
}

// Size returns the number of tokens.
func (c Completion) Size() int { return c.size }

// Word returns the i-th word. One word is one token. The last word depends on
// the number of words, so that a shortened answer is recognised.
func (c Completion) Word(i int) string {
	if i == 0 {
		return c.head
	}
	var in [sha256.Size + 8]byte
	copy(in[:], c.seed[:])
	if i == c.size-1 {
		binary.LittleEndian.PutUint64(in[sha256.Size:], ^uint64(c.size))
		sum := sha256.Sum256(in[:])
		return tailWord + hex.EncodeToString(sum[:tailBytes])
	}
	binary.LittleEndian.PutUint64(in[sha256.Size:], uint64(i))
	sum := sha256.Sum256(in[:])
	word := make([]byte, 0, 6)
	for _, b := range sum[:3] {
		word = append(word, consonants[b&15], vowels[b>>4&3])
	}
	return string(word)
}

// Piece returns the i-th word as it stands in a stream, with the separator.
func (c Completion) Piece(i int) string {
	if i == 0 {
		return c.Word(i)
	}
	return " " + c.Word(i)
}

// Text returns the whole answer.
func (c Completion) Text() string {
	var b strings.Builder
	for i := range c.size {
		b.WriteString(c.Piece(i))
	}
	return b.String()
}

func fromHead(digest [sha256.Size]byte, head string, size int) Completion {
	return Completion{seed: sha256.Sum256(append(digest[:], head...)), head: head, size: size}
}

// flatten returns the text of a message's content, which is a string, null,
// or a list of parts.
func flatten(content json.RawMessage) (string, error) {
	if len(content) == 0 || string(content) == "null" {
		return "", nil
	}
	var s string
	if json.Unmarshal(content, &s) == nil {
		return s, nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(content, &parts); err != nil {
		return "", eris.Wrapf(fault.Malformed, "content: %v", err)
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}
