// Package sampler makes a sample fleet on loopback addresses: the settings of
// its instances and a configuration with two client accounts. It serves the
// demo, the script that starts separate processes, and the tests.
package sampler
