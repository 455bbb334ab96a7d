package verdict

import "testing"

func TestRejectionOfRepeatSaysNothingAboutUnansweredTry(t *testing.T) {
	cases := []struct {
		name   string
		proofs []Proof
		want   Verdict
	}{
		{"not sent", nil, NotRun},
		{"rejected", []Proof{ProvesRejected}, NotRun},
		{"rejected twice", []Proof{ProvesRejected, ProvesRejected}, NotRun},
		{"no answer", []Proof{ProvesNothing}, MayHaveRun},
		{"no answer, then rejected", []Proof{ProvesNothing, ProvesRejected}, MayHaveRun},
		{"rejected, then no answer", []Proof{ProvesRejected, ProvesNothing}, MayHaveRun},
		{"no answer, then executed", []Proof{ProvesNothing, ProvesExecuted}, Ran},
		{"executed, then rejected", []Proof{ProvesExecuted, ProvesRejected}, Ran},
		{"no answer, then proved never executed", []Proof{ProvesNothing, ProvesNeverExecuted}, NotRun},
		{"proved never executed, then rejected", []Proof{ProvesNothing, ProvesNeverExecuted, ProvesRejected}, NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tries Tries
			got := tries.Verdict(ProvesRejected)
			for _, p := range c.proofs {
				got = tries.Record(p)
			}
			if got != c.want || tries.Sent != len(c.proofs) {
				t.Errorf("verdict %v after %d tries, want %v", got, tries.Sent, c.want)
			}
		})
	}
}
