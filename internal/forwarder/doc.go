// Package forwarder serves the general routes: it finds the route and the
// client account of a request, reserves its tokens, sends it to a target and
// relays the answer.
//
// A request is sent again only if the target has said that it didn't run it, or
// if it may run more than once; a stream goes on behind its last event. A
// refusal with status 503 or 429 is sent only if no target can have run the
// request; otherwise the answer is 502 or 504, or the connection is closed if
// the answer has begun.
package forwarder
