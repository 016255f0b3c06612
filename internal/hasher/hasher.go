package hasher

import (
	"bytes"
	"encoding/json"
)

// Block is the length of a block of prefix text, in bytes.
const Block = 256

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hasher computes prefix hashes for one model.
type Hasher struct{ seed uint64 }

// New returns the hasher of a model.
func New(model string) Hasher {
	return Hasher{extend(extend(fnvOffset, []byte(model)), []byte{'\n'})}
}

// Hashes returns the hash of each prefix of text that ends on a block boundary,
// at most limit of them. A hash is the FNV-1a of the model, a line feed and the
// prefix.
func (h Hasher) Hashes(text []byte, limit int) []uint64 {
	hashes := make([]uint64, min(len(text)/Block, limit))
	sum := h.seed
	for i := range hashes {
		sum = extend(sum, text[i*Block:(i+1)*Block])
		hashes[i] = sum
	}
	return hashes
}

// Text returns the prefix text of a request: the unmodified JSON of its tools,
// then for each message its role, a line feed, its text and a line feed. The text
// of a message is its content, or the concatenated texts of its content parts.
// Text returns nil if the messages can't be decoded; such requests have no
// affinity.
func Text(messages, tools json.RawMessage) []byte {
	var list []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(messages, &list) != nil {
		return nil
	}
	var b bytes.Buffer
	b.Write(tools)
	for _, m := range list {
		b.WriteString(m.Role + "\n")
		writeContent(&b, m.Content)
		b.WriteString("\n")
	}
	return b.Bytes()
}

// writeContent appends the text of a message content: a string, a list of parts, or
// null.
func writeContent(b *bytes.Buffer, content json.RawMessage) {
	var text string
	if json.Unmarshal(content, &text) == nil {
		b.WriteString(text)
		return
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(content, &parts) // parts without text add nothing
	for _, p := range parts {
		b.WriteString(p.Text)
	}
}

func extend(sum uint64, text []byte) uint64 {
	for _, b := range text {
		sum = (sum ^ uint64(b)) * fnvPrime
	}
	return sum
}
