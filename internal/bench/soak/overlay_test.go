package soak

import "testing"

// The end of one fault of the store ended another one that had begun later.
func TestEndOfOneFaultKeepsTheOthersInForce(t *testing.T) {
	state := ""
	o := &overlay[string]{apply: func(s string) { state = s }}
	endSlow := o.begin("slow")
	endSilent := o.begin("silent")
	endSlow()
	if state != "silent" {
		t.Errorf("after the end of the first fault the state is %q", state)
	}
	endSilent()
	if state != "" {
		t.Errorf("after the end of both faults the state is %q", state)
	}
	endSlow, endSilent = o.begin("slow"), o.begin("silent")
	endSilent()
	if state != "slow" {
		t.Errorf("after the end of the second fault the state is %q", state)
	}
	endSlow()
}
