package ticket

import (
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// FuzzDecode checks that only what Encode returned for the same owner decodes, and that
// everything else is refused as NotRun.
func FuzzDecode(f *testing.F) {
	key := Key{1}
	good := Ticket{ID: ID{Home: 7, Sequence: 9}, Expires: time.UnixMilli(123456)}
	f.Add(key.Encode(good, "desk", "mama"), "desk", "mama")
	f.Add(key.Encode(good, "desk", "mama"), "des", "kmama")
	f.Add([]byte{}, "", "")
	f.Fuzz(func(t *testing.T, b []byte, department, owner string) {
		got, err := key.Decode(b, department, owner)
		if err != nil {
			if err.Verdict != verdict.NotRun {
				t.Errorf("refusal %v is not NotRun", err)
			}
			return
		}
		if string(key.Encode(got, department, owner)) != string(b) {
			t.Errorf("%x decoded to %v, which encodes otherwise", b, got)
		}
	})
}
