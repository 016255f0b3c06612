// Package engine is a stand-in for a model engine: it speaks the de facto
// completions protocol over HTTP, batches continuously, caches prompt
// prefixes, honours priorities, resumes and cancels streams, and takes orders.
// It runs no model; answers come from package completion.
package engine
