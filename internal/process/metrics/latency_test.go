package metrics

import (
	"strings"
	"testing"
	"time"
)

func TestLatenciesAreWrittenByDepartmentAndDataCentre(t *testing.T) {
	c := New()
	for range 3 {
		c.ObserveJob("desk", "nbo1", 250*time.Millisecond)
	}
	c.ObserveJob(`a "b"`, "nbo2", time.Second)
	var b strings.Builder
	if err := c.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"# TYPE rosemarybay_job_seconds summary",
		`rosemarybay_job_seconds{department="desk",data_centre="nbo1",quantile="0.99"} 0.25`,
		`rosemarybay_job_seconds_count{department="desk",data_centre="nbo1"} 3`,
		`rosemarybay_job_seconds_count{department="a \"b\"",data_centre="nbo2"} 1`,
	} {
		if !strings.Contains(b.String(), line+"\n") {
			t.Errorf("no line %s in\n%s", line, b.String())
		}
	}
}
