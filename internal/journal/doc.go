// Package journal stores a sequence of records and a snapshot of the state
// before them in one folder.
//
// The folder holds two files. The file "log" is a header and a sequence of
// frames; a frame holds the records of one group commit under one CRC-32C.
// The file "snapshot" holds the state before a position. Both are replaced
// by writing a temporary file, syncing it, renaming it and syncing the
// folder.
//
// A frame is written only after the frame before it has been synced. A
// damaged frame without a valid frame behind it is therefore an unsynced
// tail and is cut off; a damaged frame with a valid one behind it has lost
// acknowledged records, and Open refuses the file with fault.Corrupt.
package journal
