// Package router chooses the target for a request by what it knows of the
// targets: their late load reports, the requests that this instance has sent
// since, and the prompt prefixes that their caches probably hold.
package router
