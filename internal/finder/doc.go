// Package finder finds out for an entry instance which software version began a
// stream that a caller takes up again.
//
// It looks into the instance's own records, then asks the core instances, whose
// records and history of targets decide. The instance's own history comes last and
// only while no core instance answers: a target with another version may have been
// listed since. The other entry instances of the zone are asked as well then.
package finder
