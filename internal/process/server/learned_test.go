package server

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

// Put writes whatever was there.
func (f *fakeStore) Put(_ context.Context, key string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	f.put(key, string(data))
	return nil
}

// fakePatience is what an entry knows of its callers.
type fakePatience struct {
	lines    map[string]load.Line
	restored map[string]load.Line
}

func (p *fakePatience) Patience() map[string]load.Line             { return p.lines }
func (p *fakePatience) RestorePatience(lines map[string]load.Line) { p.restored = lines }

func newTestLearned(f *fakeStore, lines map[string]load.Line) (*learned, *fakePatience) {
	p := &fakePatience{lines: lines}
	return &learned{store: f, log: zerolog.Nop(), patience: p}, p
}

// All machines without power: the next process knows what the former one had learned.
func TestWhatWasLearnedOutlivesAllProcesses(t *testing.T) {
	ctx := context.Background()
	f := newFakeStore()
	first, _ := newTestLearned(f, map[string]load.Line{"q": {BaseMS: 1500, Slope: 4}})
	first.load(ctx)
	first.keep(ctx)
	next, p := newTestLearned(f, nil)
	next.load(ctx)
	if got := p.restored["q"]; got.BaseMS != 1500 || got.Slope != 4 {
		t.Errorf("restored %+v", p.restored)
	}
}

// Small changes are not written, and neither a store that is down nor a value that
// cannot be read does any harm.
func TestWhatWasLearnedIsWrittenOnlyWhenItChanges(t *testing.T) {
	ctx := context.Background()
	f := newFakeStore()
	f.put(learnedKey, "junk")
	l, p := newTestLearned(f, map[string]load.Line{"q": {BaseMS: 1500, Slope: 4}})
	l.load(ctx)
	if p.restored != nil {
		t.Errorf("restored %+v from junk", p.restored)
	}
	f.down = true
	l.keep(ctx)
	f.down = false
	l.keep(ctx)
	written := f.revision
	p.lines = map[string]load.Line{"q": {BaseMS: 1510, Slope: 4.1}}
	l.keep(ctx)
	if f.revision != written {
		t.Error("a change of one percent was written")
	}
	p.lines = map[string]load.Line{"q": {BaseMS: 1500, Slope: 4}, "r": {BaseMS: 900, Slope: 2}}
	l.keep(ctx)
	if f.revision == written {
		t.Error("a new queue was not written")
	}
}

func TestEntryReadsWhatWasLearnedAtItsStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFakeStore()
	f.put(learnedKey, `{"q":{"base_ms":1500,"slope":4}}`)
	l, p := newTestLearned(f, nil)
	done := make(chan struct{})
	go func() { l.run(ctx); close(done) }()
	time.Sleep(20 * time.Millisecond)
	cancel()
	<-done
	if len(p.restored) != 1 {
		t.Errorf("restored %+v", p.restored)
	}
}
