package load

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
)

// A young agent has seen too few starts: its rates would blame a queue that is only new there.
func TestRatesOfStartsAreNotKnownAtFirst(t *testing.T) {
	var s StartRates
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		s.Record(now, "q")
		rates := s.Rates(now)
		if known := now >= minRecordTime; known != (len(rates) == 1) {
			t.Fatalf("after %v the rates are %v", now, rates)
		}
		if len(rates) == 1 && math.Abs(rates[0].PerSecond-10) > 1 {
			t.Fatalf("after %v the rate is %v", now, rates[0].PerSecond)
		}
	}
}

func TestRatesOfStartsAreBounded(t *testing.T) {
	var s StartRates
	s.Record(0, "first")
	for n := range 2 * crash.MaxRates {
		s.Record(minRecordTime, fmt.Sprint(n))
	}
	s.Record(minRecordTime, "most")
	s.Record(minRecordTime, "most")
	if rates := s.Rates(minRecordTime); len(rates) != crash.MaxRates || rates[0].Queue != "most" {
		t.Errorf("%d rates, the highest is %v", len(rates), rates[0])
	}
	if rates := s.Rates(20 * startRateWindow); len(rates) != 0 || len(s.byQueue) != 0 {
		t.Errorf("%d rates are kept", len(s.byQueue))
	}
}
