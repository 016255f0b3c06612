package hasher

import (
	"bytes"
	"encoding/json"
)

// Block is the length of a block of prefix text in bytes.
const Block = 256

// Parameters of the hash FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hasher computes the hashes of prefixes for one model.
type Hasher struct{ seed uint64 }

// New returns the hasher of a model.
func New(model string) Hasher {
	return Hasher{extend(extend(fnvOffset, []byte(model)), []byte{'\n'})}
}

// Hashes returns the hash of each prefix of the text that ends at the end of a
// block, up to limit of them: FNV-1a of the model, a line feed and the prefix.
func (h Hasher) Hashes(text []byte, limit int) []uint64 {
	hashes := make([]uint64, min(len(text)/Block, limit))
	sum := h.seed
	for i := range hashes {
		sum = extend(sum, text[i*Block:(i+1)*Block])
		hashes[i] = sum
	}
	return hashes
}

// Text returns the prefix text of a request: the JSON of its tools as it
// stands in the request, then for each message its role, a line feed, its
// text and a line feed. The text of a message is its content, or the texts of
// the parts of the content without anything between them. Messages that can't
// be read have no prefix text, and their requests no affinity.
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
		write(&b, m.Content)
		b.WriteString("\n")
	}
	return b.Bytes()
}

// write appends the text of a content: a string, a list of parts, or null.
func write(b *bytes.Buffer, content json.RawMessage) {
	var text string
	if json.Unmarshal(content, &text) == nil {
		b.WriteString(text)
		return
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(content, &parts) // parts without a text add none
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
