// Package reserver manages the allowances of one entry instance. Requests
// reserve tokens from them in memory; their bills are settled with the ledger
// that issued the allowance.
package reserver
