package caller

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// The reasons for which the input of a connection exceeds a limit.
var (
	errHeadTooLong = eris.New("head of a request too long")
	errBodyTooLong = eris.New("body of a request too long")
)

// MessageLimits bounds one HTTP request, in bytes; 0 means the default.
type MessageLimits struct {
	// Head is the limit of the request line and the header fields together.
	Head int
	// Body is the limit of the body without the framing of its chunks.
	Body int
}

const (
	// maxHeaderLine is the length up to which the start of a header line is kept: it holds the
	// fields that tell the length of the body.
	maxHeaderLine = 128
	// maxChunkLine bounds the line with the size of a chunk.
	maxChunkLine = 256
)

type messageState int

const (
	readingHead messageState = iota
	readingBody
	readingChunkSize
	readingChunk
	readingChunkEnd
	readingTrailer
)

// messageReader follows the framing of the HTTP requests on a connection without keeping them. It
// runs ahead of the engine, which buffers a whole head or chunk before it is asked about anything.
type messageReader struct {
	state messageState
	// head, body and framing are the bytes of the current message of each kind.
	head, body, framing int
	// left is what is missing of the body or the chunk.
	left    int
	chunked bool
	// line is the start of the current line, lineLength its whole length.
	line       []byte
	lineLength int
}

// size returns the number of bytes of the unfinished message.
func (m *messageReader) size() int { return m.head + m.body + m.framing }

// read follows more input. It appends the size of each message that is complete to done, and
// returns an error at the first limit that is exceeded.
func (m *messageReader) read(input []byte, limits MessageLimits, done []int) ([]int, error) {
	for len(input) > 0 {
		switch m.state {
		case readingBody, readingChunk:
			n := min(m.left, len(input))
			m.body += n
			m.left -= n
			input = input[n:]
			if m.left == 0 && m.state == readingChunk {
				m.state = readingChunkEnd
			}
		default:
			n, complete := m.readLine(input)
			input = input[n:]
			if err := m.count(n, limits); err != nil {
				return done, err
			}
			if !complete {
				continue
			}
			if err := m.endLine(limits); err != nil {
				return done, err
			}
		}
		if m.state == readingBody && m.left == 0 {
			done = append(done, m.size())
			*m = messageReader{line: m.line[:0]}
		}
	}
	return done, nil
}

// readLine consumes input up to the end of the line.
func (m *messageReader) readLine(input []byte) (n int, complete bool) {
	end := bytes.IndexByte(input, '\n')
	n, complete = end+1, end >= 0
	if !complete {
		n = len(input)
	}
	m.lineLength += n
	if room := maxHeaderLine - len(m.line); room > 0 {
		m.line = append(m.line, input[:min(room, n)]...)
	}
	return n, complete
}

// count adds n bytes outside of the body. The framing of chunks may take as much as the largest
// body and head, so that a body within its limit may be sent in small chunks.
func (m *messageReader) count(n int, limits MessageLimits) error {
	if m.state == readingHead {
		m.head += n
		if m.head > limits.Head {
			return errHeadTooLong
		}
		return nil
	}
	m.framing += n
	if m.framing > limits.Head+limits.Body || m.lineLength > max(maxChunkLine, limits.Head) {
		return errBodyTooLong
	}
	return nil
}

// endLine handles a complete line.
func (m *messageReader) endLine(limits MessageLimits) error {
	line := strings.TrimSpace(string(m.line))
	empty := line == "" && m.lineLength <= len("\r\n")
	m.line, m.lineLength = m.line[:0], 0
	switch m.state {
	case readingHead:
		if !empty {
			return m.endHeaderLine(line, limits)
		}
		m.state = readingBody
		if m.chunked {
			m.state = readingChunkSize
		}
	case readingChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
		switch {
		case err != nil:
			// The engine rejects it too.
			return eris.New("malformed chunk size")
		case n > uint64(limits.Body-m.body):
			return errBodyTooLong
		case n == 0:
			m.state = readingTrailer
		default:
			m.state, m.left = readingChunk, int(n)
		}
	case readingChunkEnd:
		m.state = readingChunkSize
	case readingTrailer:
		if empty {
			m.state, m.left = readingBody, 0
		}
	}
	return nil
}

// endHeaderLine handles a line of the head.
func (m *messageReader) endHeaderLine(line string, limits MessageLimits) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return nil
	}
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 62)
		if err != nil {
			return eris.New("malformed content length")
		}
		if n > uint64(limits.Body) {
			return errBodyTooLong
		}
		m.left = int(n)
	case "transfer-encoding":
		m.chunked = strings.EqualFold(strings.TrimSpace(value), "chunked")
	}
	return nil
}
