// Package kernel composes a daemon from parts. Each part is an fx module that
// registers a service under a name; parts find each other by name while the
// daemon is being built. Services start in the order in which they were
// registered and stop in reverse order.
package kernel
