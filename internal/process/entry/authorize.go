package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync/atomic"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// authorizer decides which requests a bearer token allows. Its callers can be replaced
// while it is in use.
type authorizer struct {
	callers atomic.Pointer[[]knownCaller]
	refuse  func(*verdict.Error) error
}

// knownCaller is a caller in the settings with the decoded hash of its token.
type knownCaller struct {
	hash   [sha256.Size]byte
	caller settings.Caller
}

func newAuthorizer(callers []settings.Caller, refuse func(*verdict.Error) error) (*authorizer, error) {
	a := &authorizer{refuse: refuse}
	return a, a.reload(callers)
}

// reload replaces the callers. If there are none, all requests are allowed.
func (a *authorizer) reload(callers []settings.Caller) error {
	known := make([]knownCaller, 0, len(callers))
	for i := range callers {
		hash, err := callers[i].TokenHash()
		if err != nil {
			return err
		}
		known = append(known, knownCaller{hash: hash, caller: callers[i]})
	}
	a.callers.Store(&known)
	return nil
}

// interceptor returns an interceptor that refuses requests that their token does not allow.
func (a *authorizer) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if err := a.check(r.Header(), r.Spec().Procedure, r.Any()); err != nil {
				return nil, a.refuse(err)
			}
			return next(ctx, r)
		}
	}
}

// knows reports whether requests with these headers come from a caller in the settings.
func (a *authorizer) knows(header http.Header) bool {
	callers := *a.callers.Load()
	return len(callers) == 0 || findCaller(callers, header) != nil
}

// ownedRequest is a request on behalf of an owner in a department.
type ownedRequest interface {
	GetDepartment() string
	GetOwner() string
}

// check returns why a request is refused, or nil.
func (a *authorizer) check(header http.Header, procedure string, message any) *verdict.Error {
	callers := *a.callers.Load()
	if len(callers) == 0 {
		return nil
	}
	v := refusedVerdict(message)
	c := findCaller(callers, header)
	if c == nil {
		return verdict.New(v, apiv1.Reason_REASON_UNAUTHENTICATED, "the request has no token that this entry knows")
	}
	if !strings.HasPrefix(procedure, "/"+apiv1connect.JobServiceName+"/") {
		return checkOperator(c)
	}
	m, ok := message.(ownedRequest)
	if !ok || c.Operator || m.GetDepartment() != c.Department {
		return verdict.New(v, apiv1.Reason_REASON_PERMISSION_DENIED, "the token does not allow jobs of this department")
	}
	if c.Owner != "" && m.GetOwner() != c.Owner {
		return verdict.New(v, apiv1.Reason_REASON_PERMISSION_DENIED, "the token does not allow jobs of this owner")
	}
	return nil
}

func checkOperator(c *settings.Caller) *verdict.Error {
	if c.Operator {
		return nil
	}
	return verdict.NotRunError(apiv1.Reason_REASON_PERMISSION_DENIED, "the token is not an operator's")
}

// refusedVerdict returns the verdict of a refused request. It is MayHaveRun for a request
// with a ticket, since its job may have been submitted before with another token.
func refusedVerdict(message any) verdict.Verdict {
	if _, ok := message.(ticketRequest); ok {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// findCaller returns the caller of a bearer token, or nil. It compares the token with all
// callers in constant time, so that its timing does not reveal partial matches.
func findCaller(callers []knownCaller, header http.Header) *settings.Caller {
	token, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil
	}
	hash := sha256.Sum256([]byte(token))
	var found *settings.Caller
	for i := range callers {
		if subtle.ConstantTimeCompare(hash[:], callers[i].hash[:]) == 1 {
			found = &callers[i].caller
		}
	}
	return found
}

// operatorOnly wraps a plain HTTP handler and refuses requests without an operator's token.
func (a *authorizer) operatorOnly(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := a.check(r.Header, r.URL.Path, nil); err != nil {
			_ = a.refuse(err)
			status := http.StatusForbidden
			if err.Reason == apiv1.Reason_REASON_UNAUTHENTICATED {
				status = http.StatusUnauthorized
			}
			http.Error(w, err.Error(), status)
			return
		}
		next(w, r)
	}
}
