package journal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// frameHeaderSize is the size of length, count, position and checksum.
	frameHeaderSize = 4 + 4 + 8 + 4
	// fileHeaderSize is the size of magic, generation, position, length and
	// checksum.
	fileHeaderSize = 8 + 8 + 8 + 8 + 4
	// recordHeaderSize is the size of the length that precedes each record.
	recordHeaderSize = 4
	// maxFrameBytes is the payload above which a batch is split into frames.
	maxFrameBytes = 4 << 20
	// maxRecordBytes is the maximum size of a record.
	maxRecordBytes = 64 << 20
)

var (
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
	logMagic      = []byte("papayalg")
	snapshotMagic = []byte("papayasn")
)

// header is the header of a file. Reset increments the generation, so that a
// log older than the snapshot is detected. The length is the size of the
// snapshot data, 0 in a log.
type header struct {
	generation uint64
	position   uint64
	length     uint64
}

// frame is the location of a frame in the log.
type frame struct {
	offset   int64
	size     int
	position uint64
	count    int
}

func (f frame) end() uint64 { return f.position + uint64(f.count) }

// encodeFile returns a header, with a checksum over the header and the data,
// followed by the data.
func encodeFile(magic []byte, h header, data []byte) []byte {
	out := make([]byte, 0, fileHeaderSize+len(data))
	out = append(out, magic...)
	out = binary.LittleEndian.AppendUint64(out, h.generation)
	out = binary.LittleEndian.AppendUint64(out, h.position)
	out = binary.LittleEndian.AppendUint64(out, uint64(len(data)))
	sum := crc32.Update(crc32.Checksum(out, castagnoli), castagnoli, data)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(out, data...)
}

// decodeFile is the inverse of encodeFile. It ignores bytes after the data.
func decodeFile(magic, file []byte) (header, []byte, error) {
	if len(file) < fileHeaderSize || !bytes.Equal(file[:8], magic) {
		return header{}, nil, eris.Wrap(fault.Corrupt, "file header is missing or has the wrong magic")
	}
	h := header{
		generation: binary.LittleEndian.Uint64(file[8:]),
		position:   binary.LittleEndian.Uint64(file[16:]),
		length:     binary.LittleEndian.Uint64(file[24:]),
	}
	if h.length > uint64(len(file)-fileHeaderSize) {
		return header{}, nil, eris.Wrap(fault.Corrupt, "file is shorter than the length in its header")
	}
	data := file[fileHeaderSize : fileHeaderSize+int(h.length)]
	sum := crc32.Update(crc32.Checksum(file[:fileHeaderSize-4], castagnoli), castagnoli, data)
	if sum != binary.LittleEndian.Uint32(file[fileHeaderSize-4:]) {
		return header{}, nil, eris.Wrap(fault.Corrupt, "file checksum mismatch")
	}
	return h, data, nil
}

// appendFrame appends the records to out as one frame. There must be at least
// one record.
func appendFrame(out []byte, position uint64, records [][]byte) []byte {
	start := len(out)
	out = append(out, make([]byte, frameHeaderSize)...)
	for _, r := range records {
		out = binary.LittleEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	head := out[start:]
	binary.LittleEndian.PutUint32(head, uint32(len(head)-frameHeaderSize))
	binary.LittleEndian.PutUint32(head[4:], uint32(len(records)))
	binary.LittleEndian.PutUint64(head[8:], position)
	binary.LittleEndian.PutUint32(head[16:], frameSum(head))
	return out
}

// decodeFrame returns the frame at the start of data and its records, which
// alias data. It returns false if the frame is invalid.
func decodeFrame(data []byte) (frame, [][]byte, bool) {
	if len(data) < frameHeaderSize {
		return frame{}, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	count := int(binary.LittleEndian.Uint32(data[4:]))
	if length > len(data)-frameHeaderSize || count == 0 || count > length/recordHeaderSize {
		return frame{}, nil, false
	}
	data = data[:frameHeaderSize+length]
	if frameSum(data) != binary.LittleEndian.Uint32(data[16:]) {
		return frame{}, nil, false
	}
	f := frame{size: len(data), position: binary.LittleEndian.Uint64(data[8:]), count: count}
	records := make([][]byte, 0, count)
	rest := data[frameHeaderSize:]
	for range count {
		if len(rest) < recordHeaderSize {
			return frame{}, nil, false
		}
		n := int(binary.LittleEndian.Uint32(rest))
		if n > len(rest)-recordHeaderSize {
			return frame{}, nil, false
		}
		end := recordHeaderSize + n
		records = append(records, rest[recordHeaderSize:end:end])
		rest = rest[end:]
	}
	return f, records, len(rest) == 0
}

// decodeFrames returns the frames in data, the log without its header, and
// their total size. Any bytes after them are a torn tail. The error wraps
// fault.Corrupt if a valid frame follows a damaged one.
func decodeFrames(data []byte, position uint64) (frames []frame, size int, err error) {
	for size < len(data) {
		f, _, ok := decodeFrame(data[size:])
		if !ok {
			break
		}
		if f.position != position {
			return nil, 0, eris.Wrapf(fault.Corrupt, "offset %d: frame has position %d, want %d", size, f.position, position)
		}
		f.offset = int64(fileHeaderSize + size)
		frames = append(frames, f)
		size += f.size
		position = f.end()
	}
	if o := findFrame(data[size:], position); o >= 0 {
		return nil, 0, eris.Wrapf(fault.Corrupt, "position %d: frame at offset %d is damaged, but a valid frame follows at %d", position, size, size+o)
	}
	return frames, size, nil
}

// findFrame returns the offset of the first valid frame in data with a higher
// position, or -1 if there is none.
func findFrame(data []byte, position uint64) int {
	for o := 1; o+frameHeaderSize <= len(data); o++ {
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

// frameSum returns the checksum of the frame without its checksum field.
func frameSum(frame []byte) uint32 {
	sum := crc32.Checksum(frame[:frameHeaderSize-4], castagnoli)
	return crc32.Update(sum, castagnoli, frame[frameHeaderSize:])
}
