package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// frameHeader is the size of length, count, position and checksum.
	frameHeader = 4 + 4 + 8 + 4
	// fileHeader is the size of magic, generation, position, length and
	// checksum.
	fileHeader = 8 + 8 + 8 + 8 + 4
	// sizeBytes precede each record in the payload of a frame.
	sizeBytes = 4
	// frameBytes is the payload at which a batch is split into frames.
	frameBytes = 4 << 20
	// recordBytes bounds one record.
	recordBytes = 64 << 20
)

var (
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
	logMagic      = []byte("papayalg")
	snapshotMagic = []byte("papayasn")
)

// header starts each file. The generation grows with each Reset, so that a
// log older than the snapshot is recognised. The length is that of the data
// of a snapshot and 0 in a log.
type header struct {
	generation uint64
	position   uint64
	length     uint64
}

// frame locates the records of one group commit in the log.
type frame struct {
	offset   int64
	size     int
	position uint64
	count    int
}

func (f frame) end() uint64 { return f.position + uint64(f.count) }

// encodeFile returns a header with a checksum over itself and the data,
// followed by the data.
func encodeFile(magic []byte, h header, data []byte) []byte {
	out := make([]byte, 0, fileHeader+len(data))
	out = append(out, magic...)
	out = binary.LittleEndian.AppendUint64(out, h.generation)
	out = binary.LittleEndian.AppendUint64(out, h.position)
	out = binary.LittleEndian.AppendUint64(out, uint64(len(data)))
	sum := crc32.Update(crc32.Checksum(out, castagnoli), castagnoli, data)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(out, data...)
}

// decodeFile reverses encodeFile. Bytes behind the data are allowed.
func decodeFile(magic, file []byte) (header, []byte, error) {
	if len(file) < fileHeader || !bytes.Equal(file[:8], magic) {
		return header{}, nil, eris.Wrap(fault.Corrupt, "file header is missing")
	}
	h := header{
		generation: binary.LittleEndian.Uint64(file[8:]),
		position:   binary.LittleEndian.Uint64(file[16:]),
		length:     binary.LittleEndian.Uint64(file[24:]),
	}
	if h.length > uint64(len(file)-fileHeader) {
		return header{}, nil, eris.Wrap(fault.Corrupt, "file is shorter than its header says")
	}
	data := file[fileHeader : fileHeader+int(h.length)]
	sum := crc32.Update(crc32.Checksum(file[:fileHeader-4], castagnoli), castagnoli, data)
	if sum != binary.LittleEndian.Uint32(file[fileHeader-4:]) {
		return header{}, nil, eris.Wrap(fault.Corrupt, "file checksum differs")
	}
	return h, data, nil
}

// appendFrame appends the records as one frame. There must be at least one.
func appendFrame(out []byte, position uint64, records [][]byte) []byte {
	start := len(out)
	out = append(out, make([]byte, frameHeader)...)
	for _, r := range records {
		out = binary.LittleEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	head := out[start:]
	binary.LittleEndian.PutUint32(head, uint32(len(head)-frameHeader))
	binary.LittleEndian.PutUint32(head[4:], uint32(len(records)))
	binary.LittleEndian.PutUint64(head[8:], position)
	binary.LittleEndian.PutUint32(head[16:], frameSum(head))
	return out
}

// decodeFrame returns the frame at the start of data and its records, which
// share the memory of data. It returns false if there is no valid frame.
func decodeFrame(data []byte) (frame, [][]byte, bool) {
	if len(data) < frameHeader {
		return frame{}, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	count := int(binary.LittleEndian.Uint32(data[4:]))
	if length > len(data)-frameHeader || count == 0 || count > length/sizeBytes {
		return frame{}, nil, false
	}
	data = data[:frameHeader+length]
	if frameSum(data) != binary.LittleEndian.Uint32(data[16:]) {
		return frame{}, nil, false
	}
	f := frame{size: len(data), position: binary.LittleEndian.Uint64(data[8:]), count: count}
	records := make([][]byte, 0, count)
	rest := data[frameHeader:]
	for range count {
		if len(rest) < sizeBytes {
			return frame{}, nil, false
		}
		n := int(binary.LittleEndian.Uint32(rest))
		if n > len(rest)-sizeBytes {
			return frame{}, nil, false
		}
		end := sizeBytes + n
		records = append(records, rest[sizeBytes:end:end])
		rest = rest[end:]
	}
	return f, records, len(rest) == 0
}

// decodeFrames returns the frames of a log behind its header and the number
// of bytes that they take. The bytes behind them are a torn tail. The error
// wraps fault.Corrupt if a valid frame follows a damaged one.
func decodeFrames(data []byte, position uint64) (frames []frame, size int, err error) {
	for size < len(data) {
		f, _, ok := decodeFrame(data[size:])
		if !ok {
			break
		}
		if f.position != position {
			return nil, 0, eris.Wrapf(fault.Corrupt, "offset %d: frame at position %d, want %d", size, f.position, position)
		}
		f.offset = int64(fileHeader + size)
		frames = append(frames, f)
		size += f.size
		position = f.end()
	}
	if o := findFrame(data[size:], position); o >= 0 {
		return nil, 0, eris.Wrapf(fault.Corrupt, "position %d: damaged at offset %d, valid records follow at %d", position, size, size+o)
	}
	return frames, size, nil
}

// findFrame returns the offset of the first valid frame in data that is
// later than the position, and -1 if there is none.
func findFrame(data []byte, position uint64) int {
	for o := 1; o+frameHeader <= len(data); o++ {
		p := binary.LittleEndian.Uint64(data[o+8:])
		if p <= position || p-position > uint64(len(data)) {
			continue
		}
		if _, _, ok := decodeFrame(data[o:]); ok {
			return o
		}
	}
	return -1
}

// frameSum is the checksum over the frame without its checksum field.
func frameSum(frame []byte) uint32 {
	sum := crc32.Checksum(frame[:frameHeader-4], castagnoli)
	return crc32.Update(sum, castagnoli, frame[frameHeader:])
}
