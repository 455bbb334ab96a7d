package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

type configService struct {
	apiv1connect.UnimplementedConfigServiceHandler
	entry *Entry
}

func (e *Entry) configService() (string, http.Handler) {
	return apiv1connect.NewConfigServiceHandler(&configService{entry: e}, e.handlerOptions())
}

// Change applies a change of one object and propagates it to the entries.
func (s *configService) Change(ctx context.Context, r *connect.Request[apiv1.ChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	if err := validateChange(r.Msg); err != nil {
		return nil, s.entry.refuse(err)
	}
	before := s.entry.config.Load().Revision()
	o, err := s.entry.change(ctx, r.Msg)
	if err != nil {
		return nil, withCurrentObject(s.entry.refuse(err), err, o)
	}
	s.entry.counters.Counter("config_changes").Inc(1)
	accepted := config.AcceptedRevision(o, r.Msg.GetChangeId())
	return connect.NewResponse(&apiv1.ChangeResponse{
		Object:           o,
		AcceptedRevision: accepted,
		InForce:          s.entry.propagate(ctx, accepted, before),
	}), nil
}

// withCurrentObject adds the current object to the error of a conflict.
func withCurrentObject(err error, cause *verdict.Error, current *apiv1.Object) error {
	var rpc *connect.Error
	if current == nil || cause.Reason != apiv1.Reason_REASON_CONFLICT || !errors.As(err, &rpc) {
		return err
	}
	if detail, detailErr := connect.NewErrorDetail(current); detailErr == nil {
		rpc.AddDetail(detail)
	}
	return rpc
}

func validateChange(m *apiv1.ChangeRequest) *verdict.Error {
	for _, field := range []string{m.GetChangeId(), m.GetBy(), m.GetName()} {
		if field == "" || len(field) > jobs.MaxNameBytes || strings.ContainsAny(field, "/\x00") {
			return verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "change_id, by and name must be text of 1 to %d bytes without a slash", jobs.MaxNameBytes)
		}
	}
	if m.GetKind() == apiv1.ObjectKind_OBJECT_KIND_UNSPECIFIED || m.GetChange() == nil {
		return verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "kind or change is missing")
	}
	return nil
}

func objectKey(kind apiv1.ObjectKind, name string) string {
	short := strings.ToLower(strings.TrimPrefix(kind.String(), "OBJECT_KIND_"))
	return configPrefix + short + "/" + name
}

// GetObject returns one object of the configuration.
func (s *configService) GetObject(_ context.Context, r *connect.Request[apiv1.GetObjectRequest]) (*connect.Response[apiv1.GetObjectResponse], error) {
	o := s.entry.config.Load().Get(r.Msg.GetKind(), r.Msg.GetName())
	if o == nil {
		return nil, s.entry.refuse(verdict.NotRunError(apiv1.Reason_REASON_CONFIG_UNKNOWN, "no object %q", r.Msg.GetName()))
	}
	return connect.NewResponse(&apiv1.GetObjectResponse{Object: o}), nil
}

// ListObjects returns the objects of a kind.
func (s *configService) ListObjects(_ context.Context, r *connect.Request[apiv1.ListObjectsRequest]) (*connect.Response[apiv1.ListObjectsResponse], error) {
	snapshot := s.entry.config.Load()
	return connect.NewResponse(&apiv1.ListObjectsResponse{
		Objects:  snapshot.List(r.Msg.GetKind()),
		Revision: snapshot.Revision(),
	}), nil
}
