// Package pool is the value of a pool: targets that serve the same requests.
package pool
