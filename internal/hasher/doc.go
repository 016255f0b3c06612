// Package hasher turns the messages of a request into hashes of prefixes, by
// which the router recognises what the caches of engines hold. An engine that
// publishes cache events names its blocks by the same hashes, whatever its own
// prompt template and tokenizer are; docs/routing.md states the rule.
package hasher
