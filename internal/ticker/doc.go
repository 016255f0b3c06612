// Package ticker runs a task at a fixed interval.
package ticker
