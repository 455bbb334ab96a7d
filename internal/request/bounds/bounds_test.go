package bounds

import (
	"math"
	"strings"
	"testing"
)

func TestCheckNamesFieldValueAndRange(t *testing.T) {
	r := Range[int]{Min: 1, Max: 2000}
	for _, v := range []int{1, 2000} {
		if err := r.Check("count", v); err != nil {
			t.Errorf("%d: %v", v, err)
		}
	}
	err := r.Check("count", math.MaxInt)
	if err == nil || !strings.Contains(err.Error(), "count is 9223372036854775807, expected a number from 1 to 2000") {
		t.Errorf("error %v", err)
	}
}

func TestNaNIsInNoRange(t *testing.T) {
	if (Range[float64]{Min: math.Inf(-1), Max: math.Inf(1)}).Contains(math.NaN()) {
		t.Error("NaN is in the range")
	}
}
