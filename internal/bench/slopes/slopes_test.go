package slopes

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// TestCapacityPageMatchesMeasuredSlopes fails when docs/capacity-slopes.json, which the
// bench writes, has changed and the table in docs/CAPACITY.md has not.
func TestCapacityPageMatchesMeasuredSlopes(t *testing.T) {
	b, err := os.ReadFile("../../../docs/capacity-slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	r := &Result{}
	if err := json.Unmarshal(b, r); err != nil {
		t.Fatal(err)
	}
	var table bytes.Buffer
	if err := r.WriteMarkdown(&table); err != nil {
		t.Fatal(err)
	}
	if len(r.Rows) == 0 || !strings.Contains(string(page), table.String()) {
		t.Errorf("docs/CAPACITY.md lacks the table of docs/capacity-slopes.json:\n%s", table.String())
	}
}

func TestMergeKeepsRowsOfOtherUnits(t *testing.T) {
	old := &Result{Rows: []Row{{Unit: "link", Cost: "a"}, {Unit: "task", Cost: "b"}}}
	old.Merge(&Result{Seed: 2, Rows: []Row{{Unit: "link", Cost: "c"}}})
	if len(old.Rows) != 2 || old.Rows[0].Cost != "b" || old.Rows[1].Cost != "c" || old.Seed != 2 {
		t.Errorf("merged result is %+v", old)
	}
}
