// Package holder serves the books of one availability zone. It keeps copies
// of its journal on the other holders, stores copies of theirs, moves rights
// between the zone and the replicated log, and restores the books from a copy
// after the loss of the disk.
package holder
