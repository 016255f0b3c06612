// Package docs tests that the pages under docs agree with the code and with
// each other.
package docs
