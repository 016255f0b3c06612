// Package finder finds out for an entry instance which software version began a
// stream that a caller takes up again.
//
// It looks into the instance's own records, then asks the core instances, whose
// records and history of targets decide. While no core instance answers, it asks other
// entry instances for their records. What the instance has heard of targets doesn't
// count: one of another version may have been listed since, and have begun the stream.
package finder
