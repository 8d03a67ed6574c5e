package responsecheck

import "bytes"

// stage is the part of a response that is due next.
type stage int

const (
	// stageEnded: the response is whole, or none is due.
	stageEnded stage = iota
	stageStatusLine
	stageField
	stageBody
	stageChunkSize
	stageChunkData
	stageChunkEnd
	stageTrailer
	// stageUntilClose: the body ends with the connection.
	stageUntilClose
)

// maxChunkLineBytes bounds the first line of a chunk, with its extensions.
const maxChunkLineBytes = 1 << 10

// response checks the bytes of the response to one request.
type response struct {
	method string
	stage  stage
	head   head
	// line is the part of a line that has arrived without its end.
	line []byte
	// headBytes and headLines are those of all heads, interim ones as well, and of the trailer.
	headBytes, headLines int
	maxHeadBytes         int
	// memory is reserved for the heads.
	memory *HeadMemory
	// left is how much of the body, or of its current chunk, is missing.
	left int64
}

// hasBegun reports whether anything of the response has arrived.
func (r *response) hasBegun() bool { return r.headBytes > 0 }

// accept checks the next bytes. It returns how many of them belong to the response, which ends before the others.
func (r *response) accept(data []byte) (int, error) {
	position := 0
	for position < len(data) {
		switch r.stage {
		case stageEnded:
			return position, nil
		case stageUntilClose:
			return len(data), nil
		case stageBody, stageChunkData:
			position += r.acceptContent(len(data) - position)
		default:
			count, err := r.acceptLine(data[position:])
			if err != nil {
				return 0, err
			}
			position += count
		}
	}
	return position, nil
}

// acceptContent accepts at most that many bytes of the body or of a chunk, and returns their number.
func (r *response) acceptContent(available int) int {
	count := min(int64(available), r.left)
	r.left -= count
	switch {
	case r.left > 0:
	case r.stage == stageBody:
		r.stage = stageEnded
	default:
		r.stage = stageChunkEnd
	}
	return int(count)
}

// acceptLine checks the bytes up to the end of the current line, and returns their number.
func (r *response) acceptLine(data []byte) (int, error) {
	count := len(data)
	end := bytes.IndexByte(data, '\n')
	if end >= 0 {
		count = end + 1
	}
	if err := r.reserve(count, end >= 0); err != nil {
		return 0, err
	}
	if end < 0 {
		r.line = append(r.line, data...)
		return count, nil
	}
	line := data[:count]
	if len(r.line) > 0 {
		line = append(r.line, line...)
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(text, '\r') >= 0 {
		return 0, invalid(ReasonLineBreak)
	}
	err := r.interpretLine(text)
	r.line = r.line[:0]
	return count, err
}

// reserve accounts for a part of a line.
func (r *response) reserve(count int, isWhole bool) error {
	if r.stage == stageChunkSize || r.stage == stageChunkEnd {
		if len(r.line)+count > maxChunkLineBytes {
			return invalid(ReasonTooLarge)
		}
		return nil
	}
	r.headBytes += count
	if isWhole {
		r.headLines++
	}
	if r.headBytes > r.maxHeadBytes || !r.memory.resize(r.headBytes, r.headLines) {
		return invalid(ReasonTooLarge)
	}
	return nil
}

// interpretLine interprets a line without its line break.
func (r *response) interpretLine(line []byte) error {
	switch r.stage {
	case stageStatusLine:
		return r.beginHead(line)
	case stageField:
		return r.addField(line)
	case stageChunkSize:
		return r.beginChunk(line)
	case stageChunkEnd:
		if len(line) > 0 {
			return invalid(ReasonChunk)
		}
		r.stage = stageChunkSize
	case stageTrailer:
		if len(line) == 0 {
			r.stage = stageEnded
			return nil
		}
		if _, _, ok := parseField(line); !ok {
			return invalid(ReasonField)
		}
	}
	return nil
}

// beginHead interprets a status line.
func (r *response) beginHead(line []byte) error {
	minor, status, ok := parseStatusLine(line)
	if !ok {
		return invalid(ReasonStatusLine)
	}
	r.head = head{minorVersion: minor, status: status}
	r.stage = stageField
	return nil
}

// addField interprets a line of a head, which ends with an empty line.
func (r *response) addField(line []byte) error {
	if len(line) == 0 {
		return r.endHead()
	}
	name, value, ok := parseField(line)
	if !ok {
		return invalid(ReasonField)
	}
	if !r.head.addField(name, value) {
		return invalid(ReasonFraming)
	}
	return nil
}

// endHead determines what follows a head.
func (r *response) endHead() error {
	extent, ok := r.head.extent(r.method)
	switch {
	case !ok:
		return invalid(ReasonFraming)
	case r.head.isInterim():
		r.stage = stageStatusLine
	case extent == extentLength:
		r.stage, r.left = stageBody, r.head.length
	case extent == extentChunked:
		r.stage = stageChunkSize
	case extent == extentConnection:
		r.stage = stageUntilClose
	default:
		r.stage = stageEnded
	}
	return nil
}

// beginChunk interprets the first line of a chunk.
func (r *response) beginChunk(line []byte) error {
	size, ok := parseChunkSize(line)
	if !ok {
		return invalid(ReasonChunk)
	}
	r.stage, r.left = stageChunkData, size
	if size == 0 {
		r.stage = stageTrailer
	}
	return nil
}
