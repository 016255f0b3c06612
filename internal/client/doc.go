// Package client calls the operators' API of an instance.
package client
