// Package completion derives the answers of the stand-in engine from the
// prompt and the request id, counts tokens, and checks an answer against the
// prompt that it was asked for. The engine and the load generator share it,
// so that a caller can tell that an answer is whole and its own.
package completion
