package pool

// Pool is a set of interchangeable targets. The targets announce themselves.
type Pool struct {
	Name string `json:"name"`
	// Health is the path of the health check.
	Health string `json:"health"`
	// Connections is the number of connections that a target accepts from all
	// entry instances together.
	Connections int `json:"connections"`
	// Engine describes the model engines; nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Batch is the number of requests that run concurrently.
	Batch int `json:"batch"`
	// CacheTokens is the size of the KV cache in tokens.
	CacheTokens int64 `json:"memory"`
	// TokensPerEvent is the number of tokens per event.
	TokensPerEvent int `json:"stride"`
}

// WithEngine returns a copy with model engines.
func (p Pool) WithEngine(e Engine) Pool {
	p.Engine = &e
	return p
}
