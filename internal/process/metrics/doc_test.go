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

// The ways in which the source names a counter, and the endings that each adds.
var (
	named     = regexp.MustCompile(`\b(?:Counter|GetOrRegisterCounter)\(\s*"([a-z_]+)"\s*[,)]`)
	ofTraffic = regexp.MustCompile(`newTraffic\(r, "([a-z_]+)"\)`)
	prefixed  = regexp.MustCompile(`Counter\(\s*"([a-z_]+_)"\s*\+`)
	endings   = regexp.MustCompile(`Cut = "([a-z]+)"`)
	states    = regexp.MustCompile(`State = "([a-z_]+)"`)
	refusals  = regexp.MustCompile(`Refusal = "([a-z_]+)"`)
	row       = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|")
)

// namesInSource returns the counters of entries and agents that the source
// names.
func namesInSource(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	var prefixes []string
	ends := make(map[string][]string) // by the prefix that they end
	err := filepath.WalkDir(sourceDir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		for _, m := range named.FindAllStringSubmatch(string(b), -1) {
			names[m[1]] = true
		}
		for _, m := range ofTraffic.FindAllStringSubmatch(string(b), -1) {
			names[m[1]+"_frames"], names[m[1]+"_bytes"] = true, true
		}
		for _, m := range prefixed.FindAllStringSubmatch(string(b), -1) {
			prefixes = append(prefixes, m[1])
		}
		for prefix, expression := range map[string]*regexp.Regexp{
			"caller_connections_cut_": endings,
			"jobs_":                   states,
			"starts_refused_":         refusals,
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

// addEndings adds the counters of a prefix whose endings the program computes.
func addEndings(t *testing.T, names map[string]bool, prefix string, ends []string) {
	t.Helper()
	switch prefix {
	case "refused_", "retried_":
		for _, reason := range verdict.Reasons() {
			names[prefix+verdict.ReasonName(reason)] = true
		}
	case "caller_connections_cut_", "jobs_", "starts_refused_":
		for _, end := range ends {
			names[prefix+end] = true
		}
	default:
		t.Errorf("counters %s* have endings that this test does not know", prefix)
	}
}

func namesOnPage(t *testing.T) map[string]bool {
	t.Helper()
	b, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, m := range row.FindAllStringSubmatch(string(b), -1) {
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

// What a fresh registry holds must be found by the search above.
func TestSearchFindsRegisteredCounters(t *testing.T) {
	inSource := namesInSource(t)
	for _, v := range metrics.New().Values() {
		if !inSource[v.Name] {
			t.Errorf("search does not find %s", v.Name)
		}
	}
}
