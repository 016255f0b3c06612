// Package reserver holds the allowances of one entry instance. A request
// reserves tokens from them in memory; its bill is settled with the ledger
// that issued the allowance.
package reserver
