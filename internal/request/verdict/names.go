package verdict

import (
	"strings"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// Name returns the short name of v, such as "not_run".
func Name(v Verdict) string {
	return strings.ToLower(strings.TrimPrefix(v.String(), "VERDICT_"))
}

// ReasonName returns the short name of r, such as "target_full".
func ReasonName(r Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}

// Reasons lists all reasons except the unspecified one.
func Reasons() []Reason {
	reasons := make([]Reason, 0, len(apiv1.Reason_name))
	for n := range len(apiv1.Reason_name) - 1 {
		reasons = append(reasons, Reason(n+1))
	}
	return reasons
}
