package eventlog

import (
	"strings"
	"testing"
	"unicode/utf8"
)

// A long or invalid text from outside must not fill the log or make a line unreadable.
func TestLoggedTextIsBounded(t *testing.T) {
	for _, s := range []string{"", "short", strings.Repeat("é", 1<<20), strings.Repeat("\xff", 1<<20), "a\xffb"} {
		if got := Text(s); len(got) > 3*MaxTextBytes || !utf8.ValidString(got) {
			t.Errorf("%d bytes became %d: %q", len(s), len(got), got)
		}
	}
	if got := Text("op/config"); got != "op/config" {
		t.Errorf("text %q", got)
	}
}
