// Package journal implements a write-ahead log: an append-only sequence of
// records and a snapshot of the state before them, stored in one directory.
//
// The directory holds two files. "log" is a header followed by frames; each
// frame holds the records of one group commit, protected by a CRC-32C.
// "snapshot" holds the state before a position. Both files are replaced
// atomically: write a temporary file, sync it, rename it, sync the directory.
//
// A frame is written only after the previous frame has been synced. A damaged
// frame that no valid frame follows is therefore an unsynced tail, and Open
// truncates it. If a valid frame follows, acknowledged records were lost, and
// Open fails with fault.Corrupt.
package journal
