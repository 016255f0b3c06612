// Package witness retains bills for the holder of the zone while the holder has
// no copy of its journal.
package witness
