// Package blocker recognises requests that crash the targets that run them.
// A request is known by the digest of its content, so that a retry under a
// new identity is recognised too.
package blocker
