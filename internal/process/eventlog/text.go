package eventlog

import (
	"strings"
	"unicode/utf8"
)

// MaxTextBytes bounds a text from outside the process in a log line.
const MaxTextBytes = 200

// Text returns a text from outside the process as it may be logged: valid UTF-8 of at most
// MaxTextBytes.
func Text(s string) string {
	if len(s) > MaxTextBytes {
		s = s[:MaxTextBytes-utf8.UTFMax] + "…"
	}
	return strings.ToValidUTF8(s, "\uFFFD")
}
