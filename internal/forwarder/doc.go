// Package forwarder proxies requests on the general routes to targets. It
// matches the route, authenticates the client account, reserves tokens and
// relays the response.
//
// A request is retried only if the target reported that it did not run it, or
// if the route allows running it more than once. A resumable stream continues
// after its last relayed event. Status 503 or 429 means that no target can have
// run the request; otherwise the status is 502 or 504, or the connection is
// closed if the response has already started.
package forwarder
