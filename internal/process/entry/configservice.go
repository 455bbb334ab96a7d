package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// errLostRace reports that another change came between the read and the write.
var errLostRace = eris.New("another change came first")

// maxHistory is the number of past changes kept with an object.
const maxHistory = 16

type configService struct {
	apiv1connect.UnimplementedConfigServiceHandler
	entry *Entry
}

func (e *Entry) configService() (string, http.Handler) {
	return apiv1connect.NewConfigServiceHandler(&configService{entry: e}, e.handlerOptions())
}

// Change implements the configuration service.
func (s *configService) Change(ctx context.Context, r *connect.Request[apiv1.ChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	if err := validateChange(r.Msg); err != nil {
		return nil, s.entry.refuse(err)
	}
	o, err := s.entry.change(ctx, r.Msg)
	if err != nil {
		return nil, s.entry.refuse(err)
	}
	return connect.NewResponse(&apiv1.ChangeResponse{Object: o, AcceptedRevision: o.GetRevision()}), nil
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

// change applies a change by compare-and-swap. After a lost answer it reads the
// object again and looks for its own change ID.
func (e *Entry) change(ctx context.Context, m *apiv1.ChangeRequest) (*apiv1.Object, *verdict.Error) {
	key := objectKey(m.GetKind(), m.GetName())
	attempted := false
	for {
		o, err := e.tryChange(ctx, key, m, &attempted)
		if err == nil {
			return o, nil
		}
		if err.Reason != apiv1.Reason_REASON_STORE_UNAVAILABLE {
			return nil, err
		}
		sleep(ctx, storeBackoff)
		if ctx.Err() != nil {
			if attempted {
				err = verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "%s", err.Message)
			}
			return nil, err
		}
	}
}

func (e *Entry) tryChange(ctx context.Context, key string, m *apiv1.ChangeRequest, attempted *bool) (*apiv1.Object, *verdict.Error) {
	present, err := e.store.Get(ctx, key)
	e.noteStore(err)
	if err != nil {
		return nil, storeError(err)
	}
	o := &apiv1.Object{Kind: m.GetKind(), Name: m.GetName()}
	if present != nil {
		if err := proto.Unmarshal(present.Data, o); err != nil {
			return nil, verdict.NotRunError(apiv1.Reason_REASON_INTERNAL, "stored object cannot be decoded")
		}
		o.Revision = present.Revision
	}
	if hasChange(o, m.GetChangeId()) {
		return o, nil
	}
	if !m.GetAnyBase() && m.GetBaseRevision() != o.GetRevision() {
		return nil, verdict.NotRunError(apiv1.Reason_REASON_CONFLICT, "object is at revision %d, the change is based on %d", o.GetRevision(), m.GetBaseRevision())
	}
	base := o.GetRevision()
	if err := applyChange(o, m); err != nil {
		return nil, err
	}
	data, err := proto.Marshal(o)
	if err != nil {
		return nil, verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "%v", err)
	}
	*attempted = true
	result, err := e.store.CompareAndSwap(ctx, store.Change{Key: key, Data: data, Expected: base})
	if err != nil {
		return nil, storeError(err)
	}
	if !result.Swapped {
		return nil, storeError(errLostRace)
	}
	o.Revision = result.Revision
	return o, nil
}

func storeError(err error) *verdict.Error {
	return verdict.NotRunError(apiv1.Reason_REASON_STORE_UNAVAILABLE, "%v", err)
}

func hasChange(o *apiv1.Object, changeID string) bool {
	for _, record := range o.GetHistory() {
		if record.GetChangeId() == changeID {
			return true
		}
	}
	return false
}

// applyChange changes o and appends the change to its history.
func applyChange(o *apiv1.Object, m *apiv1.ChangeRequest) *verdict.Error {
	exists := o.GetRevision() > 0
	isDepartment := o.GetKind() == apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT
	summary := ""
	switch c := m.GetChange().(type) {
	case *apiv1.ChangeRequest_SetOut:
		o.Out = c.SetOut.GetOut()
		summary = "in"
		if o.GetOut() {
			summary = "out"
		}
	case *apiv1.ChangeRequest_Allow:
		o.DataCentres, o.Targets = c.Allow.GetDataCentres(), c.Allow.GetTargets()
		summary = "allow"
	case *apiv1.ChangeRequest_SetQuota:
		o.QuotaSlots = c.SetQuota.GetSlots()
		summary = "quota"
	case *apiv1.ChangeRequest_Create:
		if exists {
			return verdict.NotRunError(apiv1.Reason_REASON_CONFLICT, "%q exists", o.GetName())
		}
		o.Department = c.Create.GetDepartment()
		exists = true
		summary = "create"
	}
	if isDepartment && !exists {
		return verdict.NotRunError(apiv1.Reason_REASON_CONFIG_UNKNOWN, "department %q does not exist", o.GetName())
	}
	o.History = append(o.History, &apiv1.ChangeRecord{
		ChangeId:     m.GetChangeId(),
		By:           m.GetBy(),
		AtUnixMs:     time.Now().UnixMilli(),
		Summary:      summary,
		BaseRevision: o.GetRevision(),
	})
	if extra := len(o.GetHistory()) - maxHistory; extra > 0 {
		o.History = o.GetHistory()[extra:]
	}
	return nil
}

// GetObject implements the configuration service.
func (s *configService) GetObject(_ context.Context, r *connect.Request[apiv1.GetObjectRequest]) (*connect.Response[apiv1.GetObjectResponse], error) {
	o := s.entry.config.Load().Get(r.Msg.GetKind(), r.Msg.GetName())
	if o == nil {
		return nil, s.entry.refuse(verdict.NotRunError(apiv1.Reason_REASON_CONFIG_UNKNOWN, "no object %q", r.Msg.GetName()))
	}
	return connect.NewResponse(&apiv1.GetObjectResponse{Object: o}), nil
}

// ListObjects implements the configuration service.
func (s *configService) ListObjects(_ context.Context, r *connect.Request[apiv1.ListObjectsRequest]) (*connect.Response[apiv1.ListObjectsResponse], error) {
	snapshot := s.entry.config.Load()
	return connect.NewResponse(&apiv1.ListObjectsResponse{
		Objects:  snapshot.List(r.Msg.GetKind()),
		Revision: snapshot.Revision(),
	}), nil
}
