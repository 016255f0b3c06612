// Package engine is a stand-in for a model engine. It implements the de facto
// standard completions API over HTTP with continuous batching, a prefix cache,
// priorities, resumable and cancellable streams, and orders. It runs no model;
// completions come from package completion.
package engine
