package estimator

// templateOverhead is the number of tokens that a chat template may add per
// message, and once per prompt.
const templateOverhead = 8

// Estimator bounds the cost of requests to one model.
type Estimator struct {
	// DefaultOutput is the maximum output, in tokens, if the request sets none.
	DefaultOutput int64
	// ContextLength is the context length of the model, in tokens. It caps the
	// bound, since an engine rejects longer requests. Zero means no cap.
	ContextLength int64
}

// PromptBound returns an upper bound on the tokens of a prompt with the given
// number of bytes and messages. Byte-level tokenizers produce at most one token
// per byte.
func (e Estimator) PromptBound(bytes, messages int) int64 {
	return int64(bytes) + templateOverhead*int64(messages+1)
}

// OutputLimit returns the maximum output to send to the engine: the requested
// limit, or the default.
func (e Estimator) OutputLimit(asked int64) int64 {
	if asked > 0 {
		return asked
	}
	return e.DefaultOutput
}

// TotalBound returns the tokens to reserve for a prompt bound and an output
// limit.
func (e Estimator) TotalBound(prompt, limit int64) int64 {
	if e.ContextLength > 0 && prompt+limit > e.ContextLength {
		return e.ContextLength
	}
	return prompt + limit
}
