package estimator

// overhead is the number of tokens that a chat template may add to each
// message, and once to the prompt.
const overhead = 8

// Estimator bounds the cost of requests to one model.
type Estimator struct {
	// DefaultOutput is the maximum output if the request doesn't set one, in tokens.
	DefaultOutput int64
	// ContextLength is the context length of the model, in tokens. It caps the
	// bound, since an engine refuses longer requests. Zero means no cap.
	ContextLength int64
}

// PromptBound returns an upper bound on the tokens of a prompt that has the given
// number of bytes and messages. Byte-level tokenizers make at most one token
// of each byte.
func (e Estimator) PromptBound(bytes, messages int) int64 {
	return int64(bytes) + overhead*int64(messages+1)
}

// OutputLimit returns the maximum output that is sent to the engine: what the
// request asks for, or the default of the model.
func (e Estimator) OutputLimit(asked int64) int64 {
	if asked > 0 {
		return asked
	}
	return e.DefaultOutput
}

// TotalBound returns the tokens to reserve for a prompt bound and an output limit.
func (e Estimator) TotalBound(prompt, limit int64) int64 {
	if e.ContextLength > 0 && prompt+limit > e.ContextLength {
		return e.ContextLength
	}
	return prompt + limit
}
