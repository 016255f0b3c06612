// Package sampler generates a sample fleet on loopback addresses: the settings
// of its instances and a configuration with two client accounts. The demo, the
// script that starts separate processes, and the tests use it.
package sampler
