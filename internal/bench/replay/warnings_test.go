package replay

import (
	"slices"
	"strings"
	"testing"
)

// A process that stood still says so in its log, which is removed with the fleet.
func TestWarningsOfProcessesAreFound(t *testing.T) {
	const lost = `{"level":"warn","node":"a","cause":"paused for longer than the lease","message":"incarnation lost"}`
	log := strings.Join([]string{
		`{"level":"info","message":"job complete"}`, lost, `{"message":"without a level"}`, `panic: no JSON`, `{"level":"err`,
	}, "\n")
	if got := warnings(strings.NewReader(log)); !slices.Equal(got, []string{lost}) {
		t.Errorf("warnings %q", got)
	}
	if got := warnings(strings.NewReader(strings.Repeat(lost+"\n", 2*maxWarnings))); len(got) != maxWarnings {
		t.Errorf("%d warnings, want %d", len(got), maxWarnings)
	}
}
