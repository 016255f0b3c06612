// Package wire holds the messages and the drpc services that the instances of
// a fleet exchange. All of its Go code is generated from wire.proto.
package wire

//go:generate sh ../../tools/generate/run
