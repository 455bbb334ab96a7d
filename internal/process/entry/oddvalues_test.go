package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/process/slots"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/standin/faultstore"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// newTestWatcher returns the store watcher of an entry without connections.
func newTestWatcher() *storeWatcher {
	counters := metrics.New()
	view := config.NewView()
	e := &Entry{
		log:       zerolog.Nop(),
		counters:  counters,
		config:    view,
		roster:    roster.NewView(),
		voters:    newVoterHistory(testPeriod),
		adoptions: newAdoptions(),
		broker:    slots.New(view, counters),

		invalidObjects: eventlog.NewInvalidValues(zerolog.Nop(), counters.Counter("config_undecodable")),
		invalidEntries: eventlog.NewInvalidValues(zerolog.Nop(), counters.Counter("roster_undecodable")),
	}
	e.dispatcher = dispatch.New(dispatch.Options{
		Config:        view,
		Counters:      counters,
		Slots:         &slotBrokers{entry: e},
		Broker:        e.broker,
		EntryCount:    func() int { return 1 },
		IsConfigFresh: func() bool { return true },
	})
	return &storeWatcher{entry: e, entries: make(map[string]*peerv1.RosterEntry)}
}

// marshal encodes a message.
func marshal(t testing.TB, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// nestedGroups returns an unknown field with the given number of levels.
func nestedGroups(levels int) []byte {
	var b []byte
	for range levels {
		b = protowire.AppendTag(b, 1000, protowire.StartGroupType)
	}
	for range levels {
		b = protowire.AppendTag(b, 1000, protowire.EndGroupType)
	}
	return b
}

// oddMessages are values that are no message of this system.
func oddMessages() [][]byte {
	return [][]byte{
		nil, {0xff}, []byte(`{"name":"e"}`), []byte(strings.Repeat("\xff", 100_000)),
		nestedGroups(10), nestedGroups(10_001), nestedGroups(1_000_000),
		protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), "\xff"),
		protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 1<<63),
		protowire.AppendString(protowire.AppendTag(nil, 2, protowire.BytesType), strings.Repeat("x", 100_000)),
	}
}

// An odd value under the key of an entry was an entry like others: it counted for majorities,
// took the place of a link and was dialled.
func TestOddRosterEntryIsNoEntry(t *testing.T) {
	s := newTestWatcher()
	valid := &peerv1.RosterEntry{Name: "e1", DataCentre: "dc", Incarnation: 1, PeerAddress: "10.0.0.1:7000", CallerAddress: "10.0.0.1:7001"}
	odd := oddMessages()
	for _, address := range []string{"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999", "10.0.0.1:-1", "host:7000", strings.Repeat("1", 1000)} {
		odd = append(odd, marshal(t, &peerv1.RosterEntry{Name: "odd", Incarnation: 2, PeerAddress: address}))
	}
	for _, name := range []string{"", strings.Repeat("e", 1000)} {
		odd = append(odd, marshal(t, &peerv1.RosterEntry{Name: name, Incarnation: 2, PeerAddress: "10.0.0.2:7000"}))
	}
	odd = append(odd, marshal(t, &peerv1.RosterEntry{Name: "odd", PeerAddress: "10.0.0.2:7000"}))
	values := []store.Value{{Key: entryKey(1), Revision: 1, Data: marshal(t, valid)}}
	for i, data := range odd {
		values = append(values, store.Value{Key: entryKey(uint64(100 + i)), Revision: uint64(i + 2), Data: data})
	}
	later := proto.Clone(valid).(*peerv1.RosterEntry)
	later.Name, later.Incarnation = "e2", 9
	values = append(values, store.Value{Key: entryKey(9), Revision: 99, Data: marshal(t, later)})
	s.apply(values, 99)
	for _, e := range s.entry.roster.Load().Entries {
		if e.GetName() != "e1" && e.GetName() != "e2" {
			t.Errorf("%.60q at %.60q is an entry", e.GetName(), e.GetPeerAddress())
		}
	}
	if n := len(s.entry.roster.Load().Entries); n != 2 {
		t.Errorf("%d entries, want 2", n)
	}
	if n := s.entry.counters.Counter("roster_undecodable").Count(); n != int64(len(odd)) {
		t.Errorf("%d odd values are counted, want %d", n, len(odd))
	}
}

// A value under the key of one object that names another one replaced that other object.
func TestOddObjectReplacesNoOther(t *testing.T) {
	s := newTestWatcher()
	key := objectKey(apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, "nbo1")
	in := &apiv1.Object{Kind: apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, Name: "nbo1", Out: true}
	values := []store.Value{{Key: key, Revision: 1, Data: marshal(t, in)}}
	odd := append(oddMessages(), marshal(t, &apiv1.Object{Kind: in.Kind, Name: "nbo1"}), marshal(t, &apiv1.Object{Name: "nbo1"}))
	for i, data := range odd {
		values = append(values, store.Value{Key: configPrefix + "data_centre/odd", Revision: uint64(i + 2), Data: data})
	}
	later := &apiv1.Object{Kind: in.Kind, Name: "nbo2", Out: true}
	values = append(values, store.Value{Key: objectKey(later.Kind, later.Name), Revision: 99, Data: marshal(t, later)})
	s.apply(values, 99)
	for _, name := range []string{"nbo1", "nbo2"} {
		if !s.entry.config.Load().IsOut(in.Kind, name) {
			t.Errorf("%s is not out of service", name)
		}
	}
	if n := len(s.entry.config.Load().List(apiv1.ObjectKind_OBJECT_KIND_UNSPECIFIED)); n != 2 {
		t.Errorf("%d objects, want 2", n)
	}
}

// A stored ticket key of another length kept each entry that started from becoming ready, for
// as long as it was stored.
func TestOddTicketKeyIsReplaced(t *testing.T) {
	for _, odd := range [][]byte{nil, []byte("short"), make([]byte, 100_000)} {
		f := faultstore.New()
		f.Set(ticketKeyName, odd)
		e := newTestWatcher().entry
		e.store, e.settings = f, &settings.Settings{Entry: &settings.Entry{}}
		_, _ = e.readOrCreateTicketKey(t.Context())
		key, err := e.readOrCreateTicketKey(t.Context())
		if err != nil || len(key) != ticket.KeySize {
			t.Errorf("a key of %d bytes: %d bytes are read, %v", len(odd), len(key), err)
		}
	}
}

// An odd value in place of an adoption kept the tickets of a lost entry from being adopted, or sent
// those of another one to an entry that did not have them.
func TestOddAdoptionIsReplacedAndNamesNoOther(t *testing.T) {
	other := marshal(t, &peerv1.Adoption{Incarnation: 8, Adopter: 5, Generation: 1 << 31})
	for _, odd := range append(oddMessages(), other) {
		f, e := newFaultyEntry(9)
		e.jobs = jobs.NewTable(9, ticket.Key{}, time.Minute, e.dispatcher, e.counters)
		f.Set(adoptedKey(7), odd)
		current, _ := f.Get(t.Context(), adoptedKey(7))
		e.adoptions.applyStored(*current)
		if e.adoptions.adopter(8) != 0 || e.adoptions.adopter(0) != 0 {
			t.Errorf("%.40q names another entry", odd)
		}
		if err := e.claim(t.Context(), 7, current); err != nil || e.adoptions.get(7) == nil {
			t.Errorf("%.40q: %v", odd, err)
		}
	}
}
