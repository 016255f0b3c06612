package model

// Model is one model.
type Model struct {
	// Name is the name that callers and engines use. It is unique among the
	// models.
	Name string `toml:"name"`
	// Output is the limit on generated tokens for requests that don't set one.
	Output int64 `toml:"output"`
	// Context is the maximum sum of prompt and generated tokens.
	Context int64 `toml:"context"`
}

// New returns a model with a default output limit and a context size, both in
// tokens.
func New(name string, output, context int64) Model {
	return Model{Name: name, Output: output, Context: context}
}

// WithOutput returns a copy with a different default output limit in tokens.
func (m Model) WithOutput(tokens int64) Model {
	m.Output = tokens
	return m
}

// WithContext returns a copy with a different context size in tokens.
func (m Model) WithContext(tokens int64) Model {
	m.Context = tokens
	return m
}
