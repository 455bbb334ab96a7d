package server

import (
	"slices"
	"testing"
	"time"
)

// An odd configuration leaves the former one in force as a whole; outages and later
// configurations are still followed.
func TestConfigurationAfterOddOneIsApplied(t *testing.T) {
	odd := slices.Clone(oddTexts)
	for _, text := range oddTexts {
		odd = append(odd, `{"version":6,"routes":[{"name":`+text+`}]}`, `{"version":`+text+`}`)
	}
	f := newFakeStore()
	f.put(keyConfig, configAt("1"))
	watcher := startConfigWatcher(t, f)
	eventually(t, "version 1", func() bool { return watcher.version() == 1 })
	for _, text := range odd {
		f.set(func() { f.put(keyConfig, text) })
		time.Sleep(5 * time.Millisecond) // the watcher reads each of them
	}
	f.set(func() { f.put(keyOut, nested(10_001)) })
	eventually(t, "z1 out", func() bool { return watcher.view.Outages().Has("z1") })
	if before := watcher.version(); before != 1 && before != 6 {
		t.Errorf("version %d is in force", before)
	}
	f.set(func() { f.put(keyConfig, configAt("7")) })
	eventually(t, "version 7", func() bool { return watcher.version() == 7 })
}
