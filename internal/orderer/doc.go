// Package orderer is a stand-in for a plain service whose main call is not
// idempotent: it places orders and counts how often each one ran.
package orderer
