// Package holder serves the ledger of one availability zone. It replicates its
// journal to the holders of the other zones, stores copies of their journals,
// moves tokens between the zone and the replicated log, and restores the ledger
// from a copy after a disk loss.
package holder
