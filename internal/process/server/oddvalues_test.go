package server

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/version/entries"
)

// ignoreInvalid returns a record of invalid values that is not looked at.
func ignoreInvalid() *eventlog.InvalidValues {
	return eventlog.NewInvalidValues(zerolog.Nop(), metrics.New().Counter("invalid"))
}

// nested returns a JSON array of the given number of levels.
func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// oddTexts are JSON texts that other writers may leave in place of a value or a field.
var oddTexts = []string{
	nested(10), nested(10_001), nested(1_000_000), "1e400", "1e30", "-1", "9223372036854775808", "18446744073709551616", "1.5",
	"null", `""`, `"\ud800"`, "\"\xff\"", `"` + strings.Repeat("x", 100_000) + `"`, "{}", "true", "", "{", strings.Repeat("9", 100_000),
}

// oddRegistrations are values under the key of an entry that name no entry to use.
func oddRegistrations() []string {
	odd := slices.Clone(oddTexts)
	for _, text := range oddTexts {
		odd = append(odd, `{"address":`+text+`,"incarnation":1}`)
		if text != "null" && text != "9223372036854775808" { // valid incarnations
			odd = append(odd, `{"address":"10.0.0.9:1","incarnation":`+text+`}`)
		}
	}
	for _, address := range []string{"10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9", ":1", "entry:1", "0.0.0.0:1"} {
		odd = append(odd, `{"address":"`+address+`","incarnation":1}`)
	}
	return odd
}

// An odd registration took the place of one of the entries that an agent links with, and its
// address was dialled for good.
func TestOddRegistrationTakesNoPlaceOfLink(t *testing.T) {
	var values []store.Value
	for i, odd := range oddRegistrations() {
		values = append(values, store.Value{Key: fmt.Sprintf("%sodd-%d", entryKeyPrefix, i), Data: []byte(odd)})
	}
	for i := range entries.MaxLinks {
		values = append(values, store.Value{Key: fmt.Sprintf("%se-%d", entryKeyPrefix, i), Data: fmt.Appendf(nil, `{"address":"10.0.0.%d:1","incarnation":1}`, i+1)})
	}
	for _, name := range []string{"", "\xff", strings.Repeat("e", 300)} {
		values = append(values, store.Value{Key: entryKeyPrefix + name, Data: []byte(`{"address":"10.0.0.9:1","incarnation":1}`)})
	}
	for _, e := range entries.Choose(decodeEntries(values, ignoreInvalid()), "agent", "z1") {
		if !strings.HasPrefix(e.Name, "e-") {
			t.Errorf("%.40q at %.40q is chosen", e.Name, e.Address)
		}
	}
}

// An odd registration is logged each time the list is read, and a long number in it went into
// the line.
func TestOddRegistrationIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	values := []store.Value{{Key: entryKeyPrefix + "odd", Revision: 7, Data: []byte(`{"incarnation":` + strings.Repeat("9", 100_000) + `}`)}}
	counter := metrics.New().Counter("invalid")
	invalid := eventlog.NewInvalidValues(zerolog.New(&log), counter)
	for range 5 {
		decodeEntries(values, invalid)
	}
	if lines := strings.Count(log.String(), "\n"); lines != 1 || log.Len() > 1000 || counter.Count() != 5 {
		t.Errorf("%d lines, %d bytes, %d counted", lines, log.Len(), counter.Count())
	}
}

// Entries and changes beside an odd registration are followed, and an entry whose registration
// becomes odd is no longer used.
func TestDirectoryFollowsChangesBesideOddRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put(entryKeyPrefix+"a", registered+"1}")
		f.put(entryKeyPrefix+"b", registered+"1}")
		d := startDirectory(t, f)
		time.Sleep(time.Second)
		received := subscribe(t, d)
		<-received
		f.set(func() {
			for i, odd := range oddRegistrations() {
				f.put(fmt.Sprintf("%sodd-%d", entryKeyPrefix, i), odd)
			}
			f.put(entryKeyPrefix+"b", nested(10_001))
		})
		f.set(func() { f.put(entryKeyPrefix+"c", registered+"1}") })
		if change := <-received; len(change.Present) != 1 || change.Present[0].Name != "c" {
			t.Errorf("the change after odd values is %.200s", fmt.Sprint(change))
		}
		if gone := <-received; !slices.Equal(gone.Removed, []string{"b"}) {
			t.Errorf("the next change is %.200s", fmt.Sprint(gone))
		}
	})
}

// storedAnnouncement is a valid announcement of a target, as stored.
const storedAnnouncement = `{"ID":"t","Incarnation":4,"Sequence":80,"Address":"10.0.0.1:80","Pool":"p","DataCentre":"z1"}`

// An odd announcement was read from the store: its agent dialled a port out of range for as long
// as the target lived.
func TestOddStoredAnnouncementIsNotRead(t *testing.T) {
	odd := slices.Clone(oddTexts)
	for _, c := range [][2]string{
		{`"Address":"10.0.0.1:80"`, `"Address":"10.0.0.1:99999"`},
		{`"Address":"10.0.0.1:80"`, `"Address":""`},
		{`"ID":"t"`, `"ID":""`},
		{`"Incarnation":4`, `"Incarnation":-1`},
		{`"Incarnation":4`, `"Incarnation":9223372036854775807`},
		{`"Pool":"p"`, `"Pool":"` + strings.Repeat("p", 1000) + `"`},
		{`"Pool":"p"`, `"Capacity":{"CPU":9223372036854775807}`},
	} {
		odd = append(odd, strings.Replace(storedAnnouncement, c[0], c[1], 1))
	}
	for _, text := range odd {
		f := newFakeStore()
		f.put(targetKeyPrefix+"agent", text)
		if stored := newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent").load(context.Background()); stored != nil {
			t.Errorf("%.200s is read as %.200s", text, fmt.Sprint(stored))
		}
	}
	f := newFakeStore()
	f.put(targetKeyPrefix+"agent", storedAnnouncement)
	if newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent").load(context.Background()) == nil {
		t.Error("a valid announcement is not read")
	}
}
