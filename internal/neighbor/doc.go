// Package neighbor runs on holders. It follows the holder of another zone to
// learn the targets of that zone and the contents that were blocked there.
package neighbor
