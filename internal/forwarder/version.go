package forwarder

import "github.com/papayapond/papayapond/internal/balancer"

// bindVersion binds a stream to the software version of the target whose event
// is its first. What two versions write doesn't fit together.
func (x *exchange) bindVersion(pick *balancer.Pick) {
	if x.version != nil {
		return
	}
	version := pick.Version()
	x.version = &version
}
