package entry

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// errWriteConflict reports that another change was written between the read and the write.
var errWriteConflict = eris.New("another change came first")

// maxHistory is the number of past changes kept with an object.
const maxHistory = 16

// abandonedWriteWait is the time after which an abandoned write can no longer take effect
// in the store.
const abandonedWriteWait = 5 * time.Second

// changeTimeout bounds the attempts at one change, so that its caller gets a verdict and
// can repeat it with the same change ID.
const changeTimeout = 10 * time.Second

// change applies a change by compare-and-swap. If the answer to a write is lost, it reads
// the object again and looks for the change ID. On a conflict it returns the current
// object. Until the outcome of taking an object out of service is known, this entry treats
// the object as out.
func (e *Entry) change(ctx context.Context, m *apiv1.ChangeRequest) (*apiv1.Object, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	c := &changeCall{entry: e, key: objectKey(m.GetKind(), m.GetName()), request: m}
	for {
		o, err := c.readModifyWrite(ctx)
		if err == nil {
			c.endAssumption(o.GetRevision())
			return o, nil
		}
		if err.Reason != apiv1.Reason_REASON_STORE_UNAVAILABLE || e.storeOld.Load() {
			return c.fail(o, err)
		}
		sleep(ctx, storeBackoff)
		if ctx.Err() != nil {
			return c.fail(o, err)
		}
	}
}

// changeCall is one change being written to the store.
type changeCall struct {
	entry   *Entry
	key     string
	request *apiv1.ChangeRequest
	// tries are the writes, openBases the revisions on which those without an answer are based.
	tries      verdict.Tries
	openBases  []uint64
	assumedOut bool // the object is assumed to be out of service
}

// fail returns the result of a change that was given up with an error, when o, if it is not
// nil, was the stored object. A write without an answer may have been executed, or may yet be.
func (c *changeCall) fail(o *apiv1.Object, err *verdict.Error) (*apiv1.Object, *verdict.Error) {
	if c.tries.Verdict(c.proofIn(o)) == verdict.NotRun {
		c.endAssumption(0)
		return o, err
	}
	go c.resolveOutcome()
	return nil, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_OUTCOME_UNKNOWN, "%s", err.Message)
}

// proofIn returns what the stored object proves: that no write without an answer was executed,
// if another change is known to have replaced each revision on which one is based.
func (c *changeCall) proofIn(o *apiv1.Object) verdict.Proof {
	for _, base := range c.openBases {
		replaced := slices.ContainsFunc(o.GetHistory(), func(r *apiv1.ChangeRecord) bool {
			return r.GetBaseRevision() == base && r.GetChangeId() != c.request.GetChangeId()
		})
		if !replaced {
			return verdict.ProvesNothing
		}
	}
	return verdict.ProvesNeverExecuted
}

// readModifyWrite makes one attempt: it reads the object, applies the change and writes it.
func (c *changeCall) readModifyWrite(ctx context.Context) (*apiv1.Object, *verdict.Error) {
	m := c.request
	o, err := c.read(ctx)
	if err != nil {
		return nil, err
	}
	if config.HasChange(o, m.GetChangeId()) {
		return o, nil
	}
	if !m.GetAnyBase() && m.GetBaseRevision() != o.GetRevision() {
		return o, verdict.NotRunError(apiv1.Reason_REASON_CONFLICT, "object is at revision %d, the change is based on %d", o.GetRevision(), m.GetBaseRevision())
	}
	base := o.GetRevision()
	if err := applyChange(o, m); err != nil {
		return o, err
	}
	return c.write(ctx, o, base)
}

// read returns the stored object, or one with revision 0 if there is none.
func (c *changeCall) read(ctx context.Context) (*apiv1.Object, *verdict.Error) {
	e, m := c.entry, c.request
	if e.storeOld.Load() {
		return nil, storeError(errStoreOld)
	}
	known := e.config.Load().Get(m.GetKind(), m.GetName()).GetRevision()
	current, err := e.store.Get(ctx, c.key)
	e.recordStoreResult(err)
	if err != nil {
		return nil, storeError(err)
	}
	o := &apiv1.Object{Kind: m.GetKind(), Name: m.GetName()}
	if current != nil {
		if o, err = decodeObject(*current); err != nil {
			return nil, verdict.NotRunError(apiv1.Reason_REASON_INTERNAL, "stored object cannot be used: %s", eventlog.Text(err.Error()))
		}
	}
	if !e.checkStoreRevision(known, o.GetRevision()) {
		return nil, storeError(errStoreOld)
	}
	return o, nil
}

// write stores o if the stored object is still at the base revision.
func (c *changeCall) write(ctx context.Context, o *apiv1.Object, base uint64) (*apiv1.Object, *verdict.Error) {
	data, err := proto.Marshal(o)
	if err != nil {
		return nil, verdict.NotRunError(apiv1.Reason_REASON_INVALID_ARGUMENT, "%v", err)
	}
	c.assumeOut()
	swap := store.SwapRequest{Key: c.key, Data: data, ExpectedRevision: base}
	result, err := c.entry.store.CompareAndSwap(ctx, swap)
	proof := store.ProofOf(swap, result, err)
	c.tries.Record(proof)
	switch proof {
	case verdict.ProvesExecuted:
		o.Revision = result.Revision
		return o, nil
	case verdict.ProvesRejected:
		return nil, storeError(errWriteConflict)
	}
	c.openBases = append(c.openBases, base)
	c.entry.counters.Counter("config_outcomes_unknown").Inc(1)
	return nil, storeError(err)
}

func (c *changeCall) configKey() config.Key {
	return config.Key{Kind: c.request.GetKind(), Name: c.request.GetName()}
}

// assumeOut treats the object as out of service if the change takes it out.
func (c *changeCall) assumeOut() {
	if c.assumedOut || !c.request.GetSetOut().GetOut() {
		return
	}
	c.assumedOut = true
	c.entry.config.AssumeOut(c.configKey())
}

// endAssumption undoes assumeOut once the local configuration has reached a revision.
func (c *changeCall) endAssumption(revision uint64) {
	if !c.assumedOut {
		return
	}
	c.assumedOut = false
	go func() {
		if revision > 0 {
			c.entry.config.WaitAbove(context.Background(), revision-1)
		}
		c.entry.config.ClearAssumedOut(c.configKey())
		c.entry.dispatcher.Refresh()
	}()
}

// resolveOutcome ends the assumption of an abandoned change once the stored object can be
// read. It waits first, since the write may still take effect.
func (c *changeCall) resolveOutcome() {
	if !c.assumedOut {
		return
	}
	ctx := context.Background()
	sleep(ctx, abandonedWriteWait)
	for {
		o, err := c.read(ctx)
		if err == nil {
			c.endAssumption(o.GetRevision())
			return
		}
		sleep(ctx, storeBackoff)
	}
}

func storeError(err error) *verdict.Error {
	return verdict.NotRunError(apiv1.Reason_REASON_STORE_UNAVAILABLE, "%v", err)
}

// applyChange applies a change to o and appends it to the history of o.
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
