package metrics_test

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	page      = "../../../docs/operators/COUNTERS.md"
	sourceDir = "../.."
)

// Expressions for the ways in which the source names a counter, and for the endings that it
// adds to a prefix.
var (
	counterPattern = regexp.MustCompile(`\b(?:Counter|GetOrRegisterCounter)\(\s*"([a-z_]+)"\s*[,)]`)
	trafficPattern = regexp.MustCompile(`newTrafficCounters\(r, "([a-z_]+)"\)`)
	prefixPattern  = regexp.MustCompile(`Counter\(\s*"([a-z_]+_)"\s*\+`)
	closePattern   = regexp.MustCompile(`CloseReason = "([a-z]+)"`)
	intakePattern  = regexp.MustCompile(`IntakeReason = "([a-z_]+)"`)
	statePattern   = regexp.MustCompile(`State = "([a-z_]+)"`)
	refusalPattern = regexp.MustCompile(`Refusal = "([a-z_]+)"`)
	answerPattern  = regexp.MustCompile(`\bAnswer[A-Z]\w+:\s+"([a-z_]+)"`)
	rowPattern     = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|")
)

// namesInSource returns the names of all counters in the source of entries and agents.
func namesInSource(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	var prefixes []string
	ends := make(map[string][]string) // by prefix
	err := filepath.WalkDir(sourceDir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		for _, m := range counterPattern.FindAllStringSubmatch(string(b), -1) {
			names[m[1]] = true
		}
		for _, m := range trafficPattern.FindAllStringSubmatch(string(b), -1) {
			names[m[1]+"_frames"], names[m[1]+"_bytes"] = true, true
		}
		for _, m := range prefixPattern.FindAllStringSubmatch(string(b), -1) {
			prefixes = append(prefixes, m[1])
		}
		for prefix, expression := range map[string]*regexp.Regexp{
			"caller_connections_cut_": closePattern,
			"connections_closed_":     intakePattern,
			"jobs_":                   statePattern,
			"starts_refused_":         refusalPattern,
			"start_orders_":           answerPattern,
		} {
			for _, m := range expression.FindAllStringSubmatch(string(b), -1) {
				ends[prefix] = append(ends[prefix], m[1])
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, prefix := range prefixes {
		addEndings(t, names, prefix, ends[prefix])
	}
	return names
}

// addEndings adds the names of the counters with a prefix whose endings are computed.
func addEndings(t *testing.T, names map[string]bool, prefix string, ends []string) {
	t.Helper()
	switch prefix {
	case "refused_", "retried_":
		for _, reason := range verdict.Reasons() {
			names[prefix+verdict.ReasonName(reason)] = true
		}
	case "caller_connections_cut_", "connections_closed_", "jobs_", "starts_refused_", "start_orders_":
		for _, end := range ends {
			names[prefix+end] = true
		}
	default:
		t.Errorf("counters %s* have endings that this test does not know", prefix)
	}
}

// namesOnPage returns the names of the counters that the page lists.
func namesOnPage(t *testing.T) map[string]bool {
	t.Helper()
	b, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, m := range rowPattern.FindAllStringSubmatch(string(b), -1) {
		names[m[1]] = true
	}
	return names
}

func TestPageListsEachCounter(t *testing.T) {
	inSource, onPage := namesInSource(t), namesOnPage(t)
	inSource[metrics.LatencyName] = true
	for _, name := range slices.Sorted(maps.Keys(inSource)) {
		if !onPage[name] {
			t.Errorf("docs/operators/COUNTERS.md has no row for %s", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(onPage)) {
		if !inSource[name] {
			t.Errorf("docs/operators/COUNTERS.md has a row for %s, which no program counts", name)
		}
	}
}

// The search in the source must find each counter of a new registry.
func TestSearchFindsRegisteredCounters(t *testing.T) {
	inSource := namesInSource(t)
	for _, v := range metrics.New().Values() {
		if !inSource[v.Name] {
			t.Errorf("the search in the source does not find the counter %s", v.Name)
		}
	}
}
