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
	// bytesPerToken is the typical ratio for English text.
	bytesPerToken = 4
	// tokensPerMessage is the number of tokens that the chat template adds to
	// each message.
	tokensPerMessage = 4
	// fingerprintBytes is the length of each of the two fingerprints in the first
	// word, before hex encoding.
	fingerprintBytes = 4
	// checksumBytes is the length of the checksum in the last word, before hex
	// encoding.
	checksumBytes  = 3
	checksumPrefix = "end-"
)

const (
	consonants = "bcdfghjklmnprstv"
	vowels     = "aeio"
)

// Completion is the completion for one request. It is immutable.
type Completion struct {
	seed      [sha256.Size]byte
	firstWord string
	size      int
}

// New returns a completion of a prompt with the given number of tokens, at least
// one. The request ID enters only through the first word, so that a caller that
// doesn't know the ID can still check the others.
func New(prompt []byte, request string, tokens int) Completion {
	id := sha256.Sum256([]byte(request))
	digest := sha256.Sum256(prompt)
	return fromFirstWord(digest, hex.EncodeToString(id[:fingerprintBytes])+hex.EncodeToString(digest[:fingerprintBytes]), max(tokens, 1))
}

// Prompt returns the prompt text for the messages and tools of a request, and its
// number of tokens. The argument messages is the JSON array of the request; tools
// may be empty. The number of tokens never exceeds the number of bytes of both.
func Prompt(messages, tools json.RawMessage) (text []byte, tokens int, err error) {
	var list []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(messages, &list); err != nil {
		return nil, 0, eris.Wrapf(fault.Malformed, "messages: %v", err)
	}
	if len(list) == 0 {
		return nil, 0, eris.Wrap(fault.Malformed, "messages: array is empty, want at least one message")
	}
	var b bytes.Buffer
	b.Write(tools)
	tokens = Tokens(len(tools))
	for _, m := range list {
		content, err := contentText(m.Content)
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

// Check returns an error unless text is a complete completion of the prompt. The
// error wraps fault.Conflict for the completion of another prompt and
// fault.Interrupted for a truncated or altered one.
func Check(prompt []byte, text string) error {
	words := strings.Split(text, " ")
	digest := sha256.Sum256(prompt)
	fingerprint := hex.EncodeToString(digest[:fingerprintBytes])
	if len(words[0]) != 4*fingerprintBytes {
		return eris.Wrap(fault.Interrupted, "first word is truncated")
	}
	if !strings.HasSuffix(words[0], fingerprint) {
		return eris.Wrapf(fault.Conflict, "completion of another prompt: got fingerprint %s, want %s", words[0][2*fingerprintBytes:], fingerprint)
	}
	c := fromFirstWord(digest, words[0], len(words))
	for i, got := range words {
		if want := c.Word(i); got != want {
			return eris.Wrapf(fault.Interrupted, "word %d of %d: got %q, want %q", i, len(words), got, want)
		}
	}
	return nil
}

// BelongsTo reports whether text starts with the fingerprint of the request ID.
func BelongsTo(request, text string) bool {
	id := sha256.Sum256([]byte(request))
	return strings.HasPrefix(text, hex.EncodeToString(id[:fingerprintBytes]))
}

// Size returns the number of tokens.
func (c Completion) Size() int { return c.size }

// Word returns the i-th word. Each word is one token. The last word depends on
// the number of words, so that truncation is detected.
func (c Completion) Word(i int) string {
	if i == 0 {
		return c.firstWord
	}
	var in [sha256.Size + 8]byte
	copy(in[:], c.seed[:])
	if i == c.size-1 {
		binary.LittleEndian.PutUint64(in[sha256.Size:], ^uint64(c.size))
		sum := sha256.Sum256(in[:])
		return checksumPrefix + hex.EncodeToString(sum[:checksumBytes])
	}
	binary.LittleEndian.PutUint64(in[sha256.Size:], uint64(i))
	sum := sha256.Sum256(in[:])
	word := make([]byte, 0, 6)
	for _, b := range sum[:3] {
		word = append(word, consonants[b&15], vowels[b>>4&3])
	}
	return string(word)
}

// Piece returns the i-th word as streamed, with the separator before it.
func (c Completion) Piece(i int) string {
	if i == 0 {
		return c.Word(i)
	}
	return " " + c.Word(i)
}

// Text returns the complete text.
func (c Completion) Text() string {
	var b strings.Builder
	for i := range c.size {
		b.WriteString(c.Piece(i))
	}
	return b.String()
}

func fromFirstWord(digest [sha256.Size]byte, firstWord string, size int) Completion {
	return Completion{seed: sha256.Sum256(append(digest[:], firstWord...)), firstWord: firstWord, size: size}
}

// contentText returns the text of the content of a message, which is a string,
// null or a list of parts.
func contentText(content json.RawMessage) (string, error) {
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
