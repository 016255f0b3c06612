// Package blocker blocks requests that crash the targets that run them. A
// request is identified by the digest of its content, so that a retry under a
// new request ID is recognized too.
package blocker
