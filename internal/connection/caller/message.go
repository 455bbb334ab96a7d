package caller

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// The reasons for which the input of a connection is not read any further.
var (
	errHeadTooLong  = eris.New("head of a request too long")
	errBodyTooLong  = eris.New("body of a request too long")
	errUnauthorized = eris.New("body of a request without authorization too long")
	errMalformed    = eris.New("malformed request")
)

// MessageLimits bounds one HTTP request, in bytes; 0 means the default.
type MessageLimits struct {
	// Head is the limit of the request line and the header fields together. The fields behind a
	// chunked body, and the extensions of its chunks, have the same limit.
	Head int
	// Body is the limit of the body without the framing of its chunks.
	Body int
	// Unauthorized is set if Body is the limit for a client whose request has no valid token.
	Unauthorized bool
}

const (
	// maxChunkLine bounds the line with the size of a chunk.
	maxChunkLine = 4 << 10
	// maxChunkDigits bounds the digits of the size of a chunk.
	maxChunkDigits = 16
	// minBodyBuffer is the size at which the buffer of a body begins to grow.
	minBodyBuffer = 4 << 10
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

// message is an HTTP request that has arrived completely.
type message struct {
	head, body []byte
	// fields is the number of header fields.
	fields int
	// parsed is the decoded head, if it arrived together with the end of the body.
	parsed *http.Request
	// weight is the memory that the process takes while it handles the request.
	weight int
}

// held returns the memory that the message takes before it is handled.
func (m *message) held() int { return cap(m.head) + cap(m.body) }

// request decodes the head.
func (m *message) request() (*http.Request, error) {
	if r := m.parsed; r != nil {
		m.parsed = nil
		return r, nil
	}
	return parseHead(m.head)
}

// messageReader splits the input of a connection into HTTP/1.1 requests. It is the only one that
// decides where a request ends: the engine is given requests, not input. Of an unfinished request it
// holds the bytes of the head and of the body alone.
type messageReader struct {
	state messageState
	// limits are those of the current request.
	limits     MessageLimits
	head, body []byte
	// lineStart is the index of the current line in head, skipped the number of bytes of the empty
	// lines before the request.
	lineStart, skipped, fields int
	parsed                     *http.Request
	// length is the length of a body that is not chunked, left what is missing of it or of the chunk.
	length, left int
	// line is the current line with the size of a chunk, or the fields behind the last one.
	line []byte
	// extensions is the number of bytes of chunk extensions.
	extensions int
}

// limitsFunc returns the limits of a request: first without its head, then with it.
type limitsFunc func(*http.Request) MessageLimits

// held returns the memory that the unfinished request takes.
func (m *messageReader) held() int { return cap(m.head) + cap(m.body) + cap(m.line) }

// read reads more input. It appends each request that is complete to done, and returns an error if
// the input must not be read any further.
func (m *messageReader) read(input []byte, limits limitsFunc, done []*message) ([]*message, error) {
	for len(input) > 0 {
		n, complete, err := m.step(input, limits)
		if err != nil {
			return done, err
		}
		input = input[n:]
		if complete {
			done = append(done, &message{head: m.head, body: m.body, fields: m.fields, parsed: m.parsed})
			*m = messageReader{}
		}
	}
	// A decoded head takes several times as much memory as its bytes.
	m.parsed = nil
	return done, nil
}

// step reads the next line or piece of a body. It returns the number of bytes read, and whether the
// request is complete.
func (m *messageReader) step(input []byte, limits limitsFunc) (n int, complete bool, err error) {
	switch m.state {
	case readingHead:
		return m.readHead(input, limits)
	case readingBody, readingChunk:
		n = m.readBody(input)
		complete = m.state == readingBody && m.left == 0
		if m.state == readingChunk && m.left == 0 {
			m.state = readingChunkEnd
		}
		return n, complete, nil
	}
	n, ended, err := m.readLine(input)
	if err != nil || !ended {
		return n, false, err
	}
	complete, err = m.endLine()
	return n, complete, err
}

// readHead reads up to the end of the current line of the head.
func (m *messageReader) readHead(input []byte, limits limitsFunc) (n int, complete bool, err error) {
	if len(m.head) == 0 && m.skipped == 0 {
		m.limits = limits(nil).orDefault()
	}
	end := bytes.IndexByte(input, '\n')
	if n = end + 1; end < 0 {
		n = len(input)
	}
	if len(m.head)+m.skipped+n > m.limits.Head {
		return n, false, errHeadTooLong
	}
	m.head = append(m.head, input[:n]...)
	if end < 0 {
		return n, false, nil
	}
	line := m.head[m.lineStart:]
	switch {
	case len(line) < 2 || line[len(line)-2] != '\r':
		return n, false, errMalformed
	case len(line) > len("\r\n"):
		m.lineStart = len(m.head)
		m.fields++
		return n, false, nil
	case m.lineStart == 0:
		// A server should skip empty lines before a request (RFC 9112, 2.2).
		m.skipped += n
		m.head = m.head[:0]
		return n, false, nil
	}
	complete, err = m.endHead(limits)
	return n, complete, err
}

// endHead decodes the head and determines the framing of the body.
func (m *messageReader) endHead(limits limitsFunc) (complete bool, err error) {
	m.parsed, err = parseHead(m.head)
	if err != nil {
		return false, err
	}
	m.limits = limits(m.parsed).orDefault()
	if m.parsed.ContentLength < 0 {
		m.state = readingChunkSize
		return false, nil
	}
	if m.parsed.ContentLength > int64(m.limits.Body) {
		return false, m.bodyTooLong()
	}
	m.length = int(m.parsed.ContentLength)
	m.state, m.left = readingBody, m.length
	return m.left == 0, nil
}

func (m *messageReader) bodyTooLong() error {
	if m.limits.Unauthorized {
		return errUnauthorized
	}
	return errBodyTooLong
}

// readBody reads the next piece of the body or of a chunk.
func (m *messageReader) readBody(input []byte) int {
	n := min(m.left, len(input))
	m.growBody(n)
	m.body = append(m.body, input[:n]...)
	m.left -= n
	return n
}

// growBody makes room for n more bytes. The buffer grows with what arrives, since a sender may
// announce more than it sends, and never beyond the limit of the body.
func (m *messageReader) growBody(n int) {
	need := len(m.body) + n
	if need <= cap(m.body) {
		return
	}
	most := m.limits.Body
	if m.state == readingBody {
		most = m.length
	}
	size := min(max(need, 2*cap(m.body), minBodyBuffer), most)
	m.body = append(make([]byte, 0, size), m.body...)
}

// readLine reads up to the end of the current line of the framing of a chunked body.
func (m *messageReader) readLine(input []byte) (n int, ended bool, err error) {
	end := bytes.IndexByte(input, '\n')
	if n, ended = end+1, end >= 0; !ended {
		n = len(input)
	}
	limit := maxChunkLine
	if m.state == readingTrailer {
		limit = m.limits.Head
	}
	if len(m.line)+n > limit {
		return n, false, m.bodyTooLong()
	}
	m.line = append(m.line, input[:n]...)
	if ended && !bytes.HasSuffix(m.line, []byte("\r\n")) {
		return n, false, errMalformed
	}
	return n, ended, nil
}

// endLine handles a complete line of the framing of a chunked body.
func (m *messageReader) endLine() (complete bool, err error) {
	switch m.state {
	case readingChunkSize:
		err = m.beginChunk(m.line[:len(m.line)-2])
	case readingChunkEnd:
		m.state = readingChunkSize
		if len(m.line) != len("\r\n") {
			err = errMalformed
		}
	case readingTrailer:
		if !bytes.HasSuffix(m.line, []byte("\r\n\r\n")) && len(m.line) != len("\r\n") {
			return false, nil
		}
		// The fields are checked but not used: no handler needs any.
		if _, malformed := textproto.NewReader(bufio.NewReader(bytes.NewReader(m.line))).ReadMIMEHeader(); malformed != nil {
			return false, errMalformed
		}
		m.line = nil
		return true, nil
	}
	m.line = m.line[:0]
	return false, err
}

// beginChunk handles the line with the size of a chunk.
func (m *messageReader) beginChunk(line []byte) error {
	size, extension, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) > maxChunkDigits {
		return errMalformed
	}
	n, err := strconv.ParseUint(string(size), 16, 64)
	if err != nil {
		return errMalformed
	}
	// A body may arrive in chunks of one byte: their framing takes no memory and has no limit of
	// its own, unlike the extensions.
	if m.extensions += len(extension); m.extensions > m.limits.Head {
		return m.bodyTooLong()
	}
	if n > uint64(m.limits.Body-len(m.body)) {
		return m.bodyTooLong()
	}
	m.state, m.left = readingChunk, int(n)
	if n == 0 {
		m.state = readingTrailer
	}
	return nil
}

// headReaders holds readers for heads that have arrived completely.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parseHead decodes a head. The body is not part of the request returned.
func parseHead(head []byte) (*http.Request, error) {
	reader := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(reader)
	reader.Reset(bytes.NewReader(head))
	r, err := http.ReadRequest(reader)
	reader.Reset(nil)
	if err != nil || r.ProtoMajor != 1 || !hasValidFields(r.Header) {
		return nil, errMalformed
	}
	r.Body = nil
	return r, nil
}

// hasValidFields reports whether all names and values of fields are valid. Others, such as a name with
// a space behind it, mean a different field to different readers.
func hasValidFields(header http.Header) bool {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}

func (l MessageLimits) orDefault() MessageLimits {
	if l.Head <= 0 {
		l.Head = defaultHeadBytes
	}
	if l.Body <= 0 {
		l.Body = defaultBodyBytes
	}
	return l
}
