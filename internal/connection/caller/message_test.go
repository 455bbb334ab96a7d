package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// readAllMessages reads input in pieces of a size.
func readAllMessages(input []byte, piece int, limits MessageLimits) ([]*message, error) {
	var m messageReader
	var done []*message
	for len(input) > 0 {
		n := min(piece, len(input))
		var err error
		if done, err = m.read(input[:n], func(*http.Request) MessageLimits { return limits }, done); err != nil {
			return done, err
		}
		input = input[n:]
	}
	return done, nil
}

// heapBytes returns the memory in use after a garbage collection.
func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc + stats.StackInuse)
}

// FuzzMessageReader guards against a request whose end the reader sees elsewhere than net/http: it
// would take the rest of the body for a request of its own, or a request for a part of the body.
// What only one of them rejects is no difference: the connection is closed.
func FuzzMessageReader(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"\r\n\r\nPOST /a HTTP/1.1\r\nContent-Length:\t 3 \r\n\r\nabcGET / HTTP/1.0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: 1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1 \r\na\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTrailer: X\r\nTransfer-Encoding: Chunked\r\n\r\n01\r\na\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nA: b\r\n c: d\r\nContent-Length: +1\r\n\r\na",
		"POST /a HTTP/1.1\r\nContent-Length : 1\r\n\r\na",
		"GET / HTTP/1.1\nHost: a\n\n",
	} {
		f.Add([]byte(seed), 7)
	}
	limits := MessageLimits{Head: 1 << 10, Body: 1 << 10}
	f.Fuzz(func(t *testing.T, input []byte, piece int) {
		got, gotErr := readAllMessages(input, len(input)+1, limits)
		inPieces, piecesErr := readAllMessages(input, max(piece%64, 1), limits)
		if len(got) != len(inPieces) || !errors.Is(piecesErr, gotErr) {
			t.Fatalf("%d requests (%v) at once, %d (%v) in pieces", len(got), gotErr, len(inPieces), piecesErr)
		}
		reader := bufio.NewReader(bytes.NewReader(input))
		for i, m := range got {
			skipEmptyLines(reader)
			want, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatalf("request %d: net/http: %v", i, err)
			}
			body, err := io.ReadAll(want.Body)
			if err != nil {
				t.Fatalf("request %d: net/http: body: %v", i, err)
			}
			r, err := m.request()
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			if r.Method != want.Method || r.RequestURI != want.RequestURI || r.Host != want.Host || !bytes.Equal(m.body, body) {
				t.Fatalf("request %d: %s %s %q, net/http: %s %s %q", i, r.Method, r.RequestURI, m.body, want.Method, want.RequestURI, body)
			}
			if !bytes.Equal(m.body, inPieces[i].body) || !bytes.Equal(m.head, inPieces[i].head) {
				t.Fatalf("request %d differs in pieces", i)
			}
		}
	})
}

// skipEmptyLines does what net/http leaves to its callers.
func skipEmptyLines(r *bufio.Reader) {
	for {
		if next, _ := r.Peek(2); string(next) != "\r\n" {
			return
		}
		_, _ = r.Discard(2)
	}
}

// TestMessageReaderRejects guards against input that is read although another reader of the same
// request may see another end of it, or that exceeds a limit.
func TestMessageReaderRejects(t *testing.T) {
	head, chunked := "POST /a HTTP/1.1\r\n", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, input string
		want        error
	}{
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", errMalformed},
		{"a signed length", head + "Content-Length: +1\r\n\r\na", errMalformed},
		{"space before a colon", head + "Content-Length : 1\r\n\r\na", errMalformed},
		{"an unknown coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n", errMalformed},
		{"lines without CR", "GET / HTTP/1.1\nHost: a\n\n", errMalformed},
		{"another version", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", errMalformed},
		{"no request", "\x16\x03\x01\r\n\r\n", errMalformed},
		{"a chunk without a size", chunked + "\r\n", errMalformed},
		{"a signed chunk size", chunked + "+1\r\na\r\n", errMalformed},
		{"a long chunk size", chunked + strings.Repeat("0", 17) + "\r\n\r\n", errMalformed},
		{"data behind a chunk", chunked + "1\r\nab\r\n", errMalformed},
		{"malformed trailer", chunked + "0\r\nX\r\n\r\n", errMalformed},
		{"a long head", head + "A: " + strings.Repeat("x", 200) + "\r\n\r\n", errHeadTooLong},
		{"a long line", "GET /" + strings.Repeat("x", 200), errHeadTooLong},
		{"empty lines", strings.Repeat("\r\n", 100), errHeadTooLong},
		{"a long announced body", head + "Content-Length: 101\r\n\r\n", errBodyTooLong},
		{"a long chunk", chunked + "65\r\n", errBodyTooLong},
		{"long chunks", chunked + "64\r\n" + strings.Repeat("x", 100) + "\r\n1\r\n", errBodyTooLong},
		{"long extensions", chunked + strings.Repeat("1;"+strings.Repeat("x", 30)+"\r\na\r\n", 5), errBodyTooLong},
		{"a long trailer", chunked + "0\r\nX: " + strings.Repeat("x", 200), errBodyTooLong},
	} {
		if _, err := readAllMessages([]byte(c.input), 9, MessageLimits{Head: 120, Body: 100}); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, expected %v", c.name, err, c.want)
		}
	}
}

// TestBodyInSmallestChunksIsRead guards against a limit for the framing of chunks that a body inside
// its limit exceeds, and against buffers that grow with the framing.
func TestBodyInSmallestChunksIsRead(t *testing.T) {
	const length = 1000
	input := "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", length) + "0\r\n\r\n"
	done, err := readAllMessages([]byte(input), 11, MessageLimits{Head: 120, Body: length})
	if err != nil || len(done) != 1 || len(done[0].body) != length {
		t.Fatalf("%d requests, %v", len(done), err)
	}
	if held := done[0].held(); held > length+256 {
		t.Errorf("a body of %d bytes holds %d", length, held)
	}
}

// TestUnfinishedRequestHoldsItsBytes guards against an unfinished request that takes more memory than
// the intake charges, or much more than its bytes.
func TestUnfinishedRequestHoldsItsBytes(t *testing.T) {
	var fields strings.Builder
	for i := range 3000 {
		fields.WriteString(strconv.Itoa(i) + ":\r\n")
	}
	for name, input := range map[string]string{
		"short fields":    "GET / HTTP/1.1\r\n" + fields.String(),
		"body":            "POST /a HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 50_000),
		"one-byte chunks": "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 9000),
	} {
		const readers = 100
		all := make([]messageReader, readers)
		held := 0
		before := heapBytes()
		for i := range all {
			for start := 0; start < len(input); start += 1000 {
				if _, err := all[i].read([]byte(input[start:min(start+1000, len(input))]), func(*http.Request) MessageLimits { return MessageLimits{} }, nil); err != nil {
					t.Fatal(err)
				}
			}
			held += all[i].held()
		}
		taken := heapBytes() - before
		// The allocator rounds sizes up by an eighth at most.
		if taken > held*9/8 || held > 2*readers*len(input) {
			t.Errorf("%s: %d bytes are charged with %d and take %d", name, readers*len(input), held, taken)
		}
		runtime.KeepAlive(all)
	}
}
