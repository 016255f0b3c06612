// Package wire holds the messages and the drpc services that the instances of
// a fleet exchange. The types are generated from wire.proto, and Fault has
// methods that turn it into an error and back.
package wire

//go:generate sh ../../tools/generate/run
