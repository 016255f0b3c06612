// Package orderer is a stand-in for a plain service with a call that must not
// be repeated: it places orders, and counts how often each one ran.
package orderer
