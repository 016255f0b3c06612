package journal

import (
	"bytes"
	"testing"
)

// A crash or a failing disk may leave arbitrary bytes. The decoder must not
// panic, and encoding what it accepts must give the same bytes.
func FuzzDecode(f *testing.F) {
	one := appendFrame(nil, 7, [][]byte{[]byte("first"), {}})
	two := appendFrame(bytes.Clone(one), 9, [][]byte{[]byte("second")})
	f.Add([]byte{}, uint64(0))
	f.Add(one, uint64(7))
	f.Add(two, uint64(7))
	f.Add(two[:len(two)-1], uint64(7))
	f.Add(two[1:], uint64(7))
	f.Fuzz(func(t *testing.T, data []byte, position uint64) {
		frames, size, err := decodeFrames(data, position)
		if err != nil {
			return
		}
		var again []byte
		for _, f := range frames {
			_, records, ok := decodeFrame(data[f.offset-fileHeaderSize:])
			if !ok {
				t.Fatalf("decoding the frame at offset %d again failed", f.offset)
			}
			again = appendFrame(again, f.position, records)
		}
		if !bytes.Equal(again, data[:size]) {
			t.Errorf("got %x, want %x", again, data[:size])
		}
		_, _, _ = decodeFile(logMagic, data)
	})
}
