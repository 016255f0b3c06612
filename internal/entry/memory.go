package entry

// HeldBytes returns the bytes held for requests.
func (e *Entry) HeldBytes() int64 { return e.limiter.Held() }

// MemoryRefusals returns how often memory was refused that a request needed.
func (e *Entry) MemoryRefusals() int64 { return e.limiter.Refusals() }
