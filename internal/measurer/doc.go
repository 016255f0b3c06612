// Package measurer runs the control traffic between one holder and the
// instances of its zone over loopback, with the parts of the product, and
// counts messages, bytes and processor time. The holder and the instances run
// in two processes, so that their processor time is told apart.
package measurer
