// Package hasher computes prefix hashes of the messages of a request. The router
// uses them to find engines with a cached prefix. An engine that publishes cache
// events identifies its blocks by the same hashes, whatever its own prompt
// template and tokenizer; docs/routing.md specifies the algorithm.
package hasher
