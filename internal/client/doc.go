// Package client calls the operator API of an instance.
package client
