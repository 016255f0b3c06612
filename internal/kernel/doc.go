// Package kernel assembles a daemon from components. Each component is an fx
// module that registers a service under a name and looks up other services by
// name during construction. Services start in registration order and stop in
// reverse order.
package kernel
