package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

func tokenOf(token string, c settings.Caller) settings.Caller {
	hash := sha256.Sum256([]byte(token))
	c.TokenSHA256 = hex.EncodeToString(hash[:])
	return c
}

func TestTokenLimitsDepartmentOwnerAndOperatorCalls(t *testing.T) {
	a, err := newAuthorizer([]settings.Caller{
		tokenOf("desk", settings.Caller{Department: "desk", Owner: "amina"}),
		tokenOf("hall", settings.Caller{Department: "hall"}),
		tokenOf("operator", settings.Caller{Operator: true}),
	}, metrics.New().CountRefusalError)
	if err != nil {
		t.Fatal(err)
	}
	issue := &apiv1.IssueTicketsRequest{Department: "desk", Owner: "amina"}
	submit := &apiv1.SubmitRequest{Department: "desk", Owner: "amina"}
	get := &apiv1.GetJobRequest{Department: "desk", Owner: "amina"}
	cancel := &apiv1.CancelJobRequest{Department: "desk", Owner: "amina"}
	otherOwner := &apiv1.GetJobRequest{Department: "desk", Owner: "juma"}
	hallJob := &apiv1.GetJobRequest{Department: "hall", Owner: "anyone"}
	change := &apiv1.ChangeRequest{}
	const (
		issueCall  = apiv1connect.JobServiceIssueTicketsProcedure
		submitCall = apiv1connect.JobServiceSubmitProcedure
		getCall    = apiv1connect.JobServiceGetJobProcedure
		cancelCall = apiv1connect.JobServiceCancelJobProcedure
		changeCall = apiv1connect.ConfigServiceChangeProcedure
		statusCall = apiv1connect.FleetServiceGetStatusProcedure

		allowed         = apiv1.Reason_REASON_UNSPECIFIED
		unauthenticated = apiv1.Reason_REASON_UNAUTHENTICATED
		denied          = apiv1.Reason_REASON_PERMISSION_DENIED
	)
	for _, c := range []struct {
		name, token, procedure string
		message                any
		want                   verdict.Reason
		wantVerdict            verdict.Verdict
	}{
		{"own ticket", "Bearer desk", issueCall, issue, allowed, 0},
		{"own submission", "Bearer desk", submitCall, submit, allowed, 0},
		{"own answer", "Bearer desk", getCall, get, allowed, 0},
		{"own cancel", "Bearer desk", cancelCall, cancel, allowed, 0},
		{"any owner of the department", "Bearer hall", getCall, hallJob, allowed, 0},
		{"operator changes", "Bearer operator", changeCall, change, allowed, 0},
		{"operator reads", "Bearer operator", statusCall, &apiv1.GetStatusRequest{}, allowed, 0},
		{"no token", "", submitCall, submit, unauthenticated, verdict.MayHaveRun},
		{"wrong token", "Bearer desk2", issueCall, issue, unauthenticated, verdict.NotRun},
		{"other scheme", "Basic desk", changeCall, change, unauthenticated, verdict.NotRun},
		{"the hash as token", "Bearer " + tokenOf("desk", settings.Caller{}).TokenSHA256, submitCall, submit, unauthenticated, verdict.MayHaveRun},
		{"other department submits", "Bearer hall", submitCall, submit, denied, verdict.MayHaveRun},
		{"other department reads", "Bearer hall", getCall, get, denied, verdict.MayHaveRun},
		{"other department cancels", "Bearer hall", cancelCall, cancel, denied, verdict.MayHaveRun},
		{"other owner reads", "Bearer desk", getCall, otherOwner, denied, verdict.MayHaveRun},
		{"caller changes", "Bearer desk", changeCall, change, denied, verdict.NotRun},
		{"caller reads the state", "Bearer desk", statusCall, &apiv1.GetStatusRequest{}, denied, verdict.NotRun},
		{"operator submits", "Bearer operator", submitCall, submit, denied, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := a.check(http.Header{"Authorization": {c.token}}, c.procedure, c.message)
			if c.want == allowed {
				if err != nil {
					t.Errorf("refused: %v", err)
				}
				return
			}
			if err == nil || err.Reason != c.want || err.Verdict != c.wantVerdict {
				t.Errorf("error %v, want %s: %s", err, verdict.Name(c.wantVerdict), verdict.ReasonName(c.want))
			}
		})
	}
}
