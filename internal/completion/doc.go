// Package completion generates the completions of the stand-in engine. It derives
// them from the prompt and the request ID, counts tokens, and checks a completion
// against its prompt. The engine and the load generator share it, so that a
// caller can verify that a completion is complete and its own.
package completion
