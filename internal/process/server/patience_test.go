package server

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

// Put writes a value unconditionally.
func (f *fakeStore) Put(_ context.Context, key string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	f.put(key, string(data))
	return nil
}

// fakeEstimator is a patienceEstimator with lines that the test sets.
type fakeEstimator struct {
	lines    map[string]load.PatienceLine
	restored map[string]load.PatienceLine
}

func (p *fakeEstimator) Patience() map[string]load.PatienceLine             { return p.lines }
func (p *fakeEstimator) RestorePatience(lines map[string]load.PatienceLine) { p.restored = lines }

func newTestPatienceRecord(f *fakeStore, lines map[string]load.PatienceLine) (*patienceRecord, *fakeEstimator) {
	p := &fakeEstimator{lines: lines}
	return &patienceRecord{store: f, log: zerolog.Nop(), invalid: ignoreInvalid(), estimator: p}, p
}

// After a power loss of all machines, a new process restores the patience stored by a former one.
func TestPatienceSurvivesRestartOfAllProcesses(t *testing.T) {
	ctx := context.Background()
	f := newFakeStore()
	first, _ := newTestPatienceRecord(f, map[string]load.PatienceLine{"q": {BaseMS: 1500, Slope: 4}})
	first.load(ctx)
	first.saveIfChanged(ctx)
	next, p := newTestPatienceRecord(f, nil)
	next.load(ctx)
	if got := p.restored["q"]; got.BaseMS != 1500 || got.Slope != 4 {
		t.Errorf("restored %+v", p.restored)
	}
}

// Small changes are not written. A store that is down and an invalid stored value do not
// stop later writes.
func TestPatienceIsWrittenOnlyOnChange(t *testing.T) {
	ctx := context.Background()
	f := newFakeStore()
	f.put(patienceKey, "junk")
	l, p := newTestPatienceRecord(f, map[string]load.PatienceLine{"q": {BaseMS: 1500, Slope: 4}})
	l.load(ctx)
	if p.restored != nil {
		t.Errorf("restored %+v from junk", p.restored)
	}
	f.down = true
	l.saveIfChanged(ctx)
	f.down = false
	l.saveIfChanged(ctx)
	written := f.revision
	p.lines = map[string]load.PatienceLine{"q": {BaseMS: 1510, Slope: 4.1}}
	l.saveIfChanged(ctx)
	if f.revision != written {
		t.Error("a change of one percent was written")
	}
	p.lines = map[string]load.PatienceLine{"q": {BaseMS: 1500, Slope: 4}, "r": {BaseMS: 900, Slope: 2}}
	l.saveIfChanged(ctx)
	if f.revision == written {
		t.Error("a new queue was not written")
	}
}

func TestPatienceIsReadAtStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFakeStore()
	f.put(patienceKey, `{"q":{"base_ms":1500,"slope":4}}`)
	l, p := newTestPatienceRecord(f, nil)
	done := make(chan struct{})
	go func() { l.run(ctx); close(done) }()
	time.Sleep(20 * time.Millisecond)
	cancel()
	<-done
	if len(p.restored) != 1 {
		t.Errorf("restored %+v", p.restored)
	}
}
