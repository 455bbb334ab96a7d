package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/guard"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/runs"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
	"github.com/rosemarybay/rosemarybay/platform"
)

var errDown = errors.New("store is down")

// fakeStore is a store in memory that can be down, lose leases and compact its history.
type fakeStore struct {
	mu        sync.Mutex
	values    map[string]store.Value
	leases    map[uint64]bool
	revision  uint64
	down      bool
	compacted bool
	// dropEvents makes watches return no events.
	dropEvents bool
	// calls counts lists and watches.
	calls int
	// stale, if set, is the result of a stale list.
	stale *store.Listing
	// oldest is the lowest revision from which a watch can start.
	oldest uint64
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: make(map[string]store.Value), leases: make(map[uint64]bool), revision: 10}
}

// set changes the store under its lock.
func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// put writes a value unconditionally; the caller holds the lock.
func (f *fakeStore) put(key, data string) {
	f.revision++
	f.values[key] = store.Value{Key: key, Data: []byte(data), Revision: f.revision}
}

func (f *fakeStore) Get(_ context.Context, key string) (*store.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errDown
	}
	v, ok := f.values[key]
	if !ok {
		return nil, nil
	}
	return &v, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) (store.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return store.Listing{}, errDown
	}
	l := store.Listing{Revision: f.revision}
	for key, v := range f.values {
		if strings.HasPrefix(key, prefix) {
			l.Values = append(l.Values, v)
		}
	}
	return l, nil
}

func (f *fakeStore) ListStale(ctx context.Context, prefix string) (store.Listing, error) {
	f.mu.Lock()
	stale := f.stale
	f.mu.Unlock()
	if stale != nil {
		return *stale, nil
	}
	return f.List(ctx, prefix)
}

func (f *fakeStore) CompareAndSwap(_ context.Context, c store.SwapRequest) (store.SwapResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.SwapResult{}, errDown
	}
	if present, ok := f.values[c.Key]; (ok && present.Revision != c.ExpectedRevision) || (!ok && c.ExpectedRevision != 0) {
		return store.SwapResult{Revision: present.Revision, Current: &present}, nil
	}
	f.put(c.Key, string(c.Data))
	return store.SwapResult{Swapped: true, Revision: f.revision}, nil
}

func (f *fakeStore) GrantLease(context.Context, time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errDown
	}
	id := uint64(len(f.leases) + 1)
	f.leases[id] = true
	return id, nil
}

func (f *fakeStore) RenewLease(_ context.Context, id uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	if !f.leases[id] {
		return store.ErrLeaseLapsed
	}
	return nil
}

func (f *fakeStore) RevokeLease(_ context.Context, id uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leases, id)
	return nil
}

func (f *fakeStore) Watch(ctx context.Context, prefix string, after uint64, _ time.Duration) (store.Listing, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || ctx.Err() != nil {
		return store.Listing{}, errDown
	}
	f.calls++
	if f.compacted || after < f.oldest {
		f.compacted = false
		return store.Listing{Compacted: true}, nil
	}
	l := store.Listing{Revision: f.revision}
	for key, v := range f.values {
		if strings.HasPrefix(key, prefix) && v.Revision > after && !f.dropEvents {
			l.Values = append(l.Values, v)
		}
	}
	return l, nil
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func newTestRegistrar(f *fakeStore) *registrar {
	return &registrar{store: f, log: zerolog.Nop(), key: entryKeyPrefix + "e", value: registration{Address: "10.0.0.1:1", Incarnation: 3}}
}

func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name string
		lose func(*fakeStore)
	}{
		{"after its lease has lapsed", func(f *fakeStore) { clear(f.leases); clear(f.values) }},
		{"after the key alone was taken away", func(f *fakeStore) { clear(f.values) }},
		{"after another wrote the key", func(f *fakeStore) { clear(f.leases); f.put(entryKeyPrefix+"e", "junk") }},
	} {
		f := newFakeStore()
		r := newTestRegistrar(f)
		if err := r.ensureRegistered(ctx); err != nil {
			t.Fatal(err)
		}
		f.set(func() { f.revision++; c.lose(f) })
		if err := r.ensureRegistered(ctx); err != nil {
			t.Fatal(err)
		}
		listing, _ := f.List(ctx, entryKeyPrefix)
		want := peer.Entry{Name: "e", Address: r.value.Address, DataCentre: r.value.DataCentre, Incarnation: r.value.Incarnation}
		if got := decodeEntries(listing.Values, ignoreInvalid()); !slices.Equal(got, []peer.Entry{want}) {
			t.Errorf("%s: entries %v", c.name, got)
		}
	}
}

func TestRegistrationSucceedsAfterStoreOutage(t *testing.T) {
	f := newFakeStore()
	r := newTestRegistrar(f)
	f.set(func() { f.down = true })
	if err := r.ensureRegistered(context.Background()); err == nil {
		t.Fatal("registered at a store that is down")
	}
	f.set(func() { f.down = false })
	if err := r.ensureRegistered(context.Background()); err != nil || r.lease == 0 {
		t.Errorf("after the outage: %v, lease %d", err, r.lease)
	}
}

// An invalid registration is skipped; the others are decoded.
func TestInvalidRegistrationIsSkipped(t *testing.T) {
	values := []store.Value{
		{Key: entryKeyPrefix + "a", Data: []byte("{")},
		{Key: entryKeyPrefix + "b", Data: []byte("{}")},
		{Key: entryKeyPrefix + "c", Data: []byte(`{"address":"10.0.0.2:1"}`)},
	}
	if got := decodeEntries(values, ignoreInvalid()); len(got) != 1 || got[0].Name != "c" || got[0].Address != "10.0.0.2:1" {
		t.Errorf("entries %v", got)
	}
}

// Keys that operators write.
const (
	keyConfig = platform.KeyPrefix + "config"
	keyOut    = platform.KeyPrefix + "evacuate/z1"
)

// configAt returns a configuration document of a version.
func configAt(version string) string { return `{"version":` + version + `}` }

func startConfigWatcher(t *testing.T, f *fakeStore) *configWatcher {
	watcher := &configWatcher{store: f, log: zerolog.Nop(), invalid: ignoreInvalid(), view: &policy.View{}, changed: func() {}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return watcher
}

func (w *configWatcher) version() uint64 {
	if s := w.view.Snapshot(); s != nil {
		return s.Version
	}
	return 0
}

func TestConfigWatcherIgnoresOlderVersions(t *testing.T) {
	f := newFakeStore()
	f.put(keyConfig, configAt("5"))
	watcher := startConfigWatcher(t, f)
	eventually(t, "version 5", func() bool { return watcher.version() == 5 })
	f.set(func() { f.put(keyConfig, configAt("9")) })
	eventually(t, "version 9", func() bool { return watcher.version() == 9 })
	f.set(func() { f.put(keyConfig, configAt("7")) })
	time.Sleep(30 * time.Millisecond)
	if watcher.version() != 9 || watcher.document.Load().Routes.Version != 9 {
		t.Errorf("went back to version %d", watcher.version())
	}
}

func TestConfigWatcherReadsMissedChanges(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(*fakeStore)
		mend    func(*fakeStore)
	}{
		{"after the history is gone", func(f *fakeStore) { f.dropEvents = true }, func(f *fakeStore) { f.compacted = true }},
		{"after a watch that missed a change", func(f *fakeStore) { f.dropEvents = true }, func(*fakeStore) {}},
		{"after an outage", func(f *fakeStore) { f.down = true }, func(f *fakeStore) { f.down = false }},
	} {
		f := newFakeStore()
		f.put(keyConfig, configAt("1"))
		watcher := startConfigWatcher(t, f)
		eventually(t, "version 1", func() bool { return watcher.version() == 1 })
		f.set(func() { c.disturb(f); f.put(keyConfig, configAt("2")); f.put(keyOut, "{}") })
		f.set(func() { c.mend(f) })
		eventually(t, c.name, func() bool { return watcher.version() == 2 && slices.Equal(watcher.view.Outages().Out, []string{"z1"}) })
	}
}

func TestConfigWatcherReturnsDataCentreToService(t *testing.T) {
	f := newFakeStore()
	f.put(keyOut, "{}")
	watcher := startConfigWatcher(t, f)
	eventually(t, "z1 out", func() bool { return watcher.view.Outages().Has("z1") })
	f.set(func() { delete(f.values, keyOut); f.revision++ })
	eventually(t, "z1 back", func() bool { return !watcher.view.Outages().Has("z1") })
}

// An agent that restarts beside a running target finds the target's last announcement.
func TestTargetRecordSurvivesAgentRestart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFakeStore()
	first := newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent")
	if stored := first.load(ctx); stored != nil {
		t.Fatalf("read %+v from an empty store", stored)
	}
	go first.run(ctx)
	announced := runs.Announcement{ID: "t", Incarnation: 4, Sequence: 80, Address: "10.0.0.1:80", Pool: "p", DataCentre: "z1", Token: 77}
	first.queue(runs.Announcement{ID: "t", Incarnation: 3})
	first.queue(announced)
	eventually(t, "the record", func() bool {
		v, _ := f.Get(ctx, targetKeyPrefix+"agent")
		return v != nil && strings.Contains(string(v.Data), `"Incarnation":4`)
	})
	stored := newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent").load(ctx)
	if stored == nil || stored.ID != "t" || stored.Incarnation != 4 || stored.Sequence != 0 || stored.Token != 77 {
		t.Errorf("stored announcement is %+v", stored)
	}
	f.set(func() { f.put(targetKeyPrefix+"agent", "junk") })
	if stored := newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent").load(ctx); stored != nil {
		t.Errorf("an invalid value is read as %+v", stored)
	}
}

// fakeTargetClient is the client of a target without running tasks.
type fakeTargetClient struct{}

func (fakeTargetClient) Start(context.Context, runs.Permit, peer.Start) (runs.Answer, error) {
	return 0, nil
}
func (fakeTargetClient) Stop(context.Context, uint64, task.Attempt) (runs.Answer, error) {
	return 0, nil
}
func (fakeTargetClient) Poll(context.Context, runs.PollRequest) (runs.Report, error) {
	time.Sleep(time.Millisecond)
	return runs.Report{}, nil
}
func (fakeTargetClient) Close() {}

// A target reports that it drains, or deregisters, and its agent restarts right after the
// acknowledgement: the stored announcement must have Draining set.
func TestDrainingTargetIsStoredBeforeAcknowledgement(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(persistentRegistry, runs.Announcement)
	}{
		{"draining", func(p persistentRegistry, a runs.Announcement) { a.Draining = true; p.Announce(a) }},
		{"leaving", func(p persistentRegistry, a runs.Announcement) {
			p.Deregister(a.ID, a.Incarnation)
			p.record.waitWritten(recordWriteTimeout)
		}},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFakeStore()
		r := newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent")
		go r.run(ctx)
		manager := runs.New(runs.Options{
			Log:       zerolog.Nop(),
			Counters:  metrics.New(),
			Dial:      func(runs.Announcement) runs.TargetClient { return fakeTargetClient{} },
			Announced: r.queue,
		})
		registry := persistentRegistry{Manager: manager, record: r}
		a := runs.Announcement{ID: "t", Incarnation: 1, Sequence: 1, Address: "10.0.0.1:80", Pool: "p", DataCentre: "z1"}
		registry.Announce(a)
		a.Sequence++
		c.send(registry, a)
		stored := newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent").load(ctx)
		if stored == nil || !stored.Draining {
			t.Errorf("%s: stored announcement is %+v", c.name, stored)
		}
		cancel()
	}
}

// While the store is down, the heartbeat of a draining target is acknowledged after
// recordWriteTimeout.
func TestDrainingTargetIsAcknowledgedWhileStoreIsDown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFakeStore()
	f.down = true
	r := newTargetRecord(f, zerolog.Nop(), ignoreInvalid(), "agent")
	go r.run(ctx)
	r.queue(runs.Announcement{ID: "t", Draining: true})
	begun := time.Now()
	r.waitWritten(recordWriteTimeout)
	if waited := time.Since(begun); waited < recordWriteTimeout || waited > 10*recordWriteTimeout {
		t.Errorf("acknowledged after %v", waited)
	}
}

// A panic in the handler of a request is recovered and answered with 504 Gateway
// Timeout, since the request may have been carried out in part.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	p := &Server{log: zerolog.Nop(), counters: metrics.New()}
	p.guard = guard.Guard{Log: p.log, Counters: p.counters}
	w := httptest.NewRecorder()
	p.recoverPanics(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("unexpected") })).
		ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
	if w.Code != http.StatusGatewayTimeout || p.counters.Counter("panics").Count() != 1 {
		t.Errorf("status %d", w.Code)
	}
}

func TestRegistrationKeepsItsJSONForm(t *testing.T) {
	b, err := json.Marshal(registration{Address: "10.0.0.1:7720", DataCentre: "z1", Incarnation: 9})
	if err != nil || string(b) != `{"address":"10.0.0.1:7720","data_centre":"z1","incarnation":9}` {
		t.Errorf("%s, %v", b, err)
	}
}
