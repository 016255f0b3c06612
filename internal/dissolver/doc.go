// Package dissolver closes a venture that is being dissolved: it calls the
// rights of all zones home and closes the books when they add up.
package dissolver
