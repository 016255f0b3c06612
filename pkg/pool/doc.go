// Package pool describes a pool of targets that serve the same requests.
package pool
