// Package witness keeps bills for the holder of the zone while that has no
// copy of its journal.
package witness
