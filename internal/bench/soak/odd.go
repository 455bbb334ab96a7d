package soak

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
)

// oddTexts are JSON texts that another writer leaves in place of a value or a field.
var oddTexts = []string{
	"null", "{}", "[]", "true", "-1", "1.5", "1e30", "9223372036854775808", "18446744073709551616", `""`,
	`"10.0.0.9:0"`, `"10.0.0.9:99999"`, `"nobody"`,
	strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
	`"` + strings.Repeat("x", 10_000) + `"`,
}

// heartbeatFields are the fields of a heartbeat that are replaced by odd texts. Texts for the
// pool and the data centre are left out: any text may be valid.
var heartbeatFields = []string{"address", "capacity", "labels", "sequence", "born", "state"}

// Prefixes of the keys that entries and agents write.
const (
	entryKeys  = "rosemarybay/entries/"
	targetKeys = "rosemarybay/targets/"
	crashKeys  = "rosemarybay/crashes/"
	learnedKey = "rosemarybay/learned"
)

// leaveOddValues writes odd values beside those of the nodes, and in place of one of them.
func leaveOddValues(s *soak, r *rand.Rand) func() {
	odd := func() []byte { return []byte(pick(r, oddTexts)) }
	for range 3 {
		s.store.Put(entryKeys+"odd-"+string(rune('a'+r.IntN(26))), odd())
		s.store.Put(entryKeys+"odd-"+string(rune('a'+r.IntN(26))), []byte(`{"address":`+string(odd())+`,"incarnation":1}`))
	}
	agent := pick(r, s.agents).name
	for _, key := range []string{entryKeys + pick(r, s.entries).name, targetKeys + agent, crashKeys + agent, learnedKey} {
		if r.IntN(2) == 0 {
			s.store.Put(key, odd())
		}
	}
	return func() {}
}

// sendOddHeartbeat sends an agent an odd heartbeat beside those of its target.
func sendOddHeartbeat(s *soak, r *rand.Rand) func() {
	pick(r, s.targets).SendOddHeartbeat(pick(r, heartbeatFields), json.RawMessage(pick(r, oddTexts)))
	return func() {}
}
