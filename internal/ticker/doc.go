// Package ticker repeats a task at an interval.
package ticker
