package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/mattn/go-isatty"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const (
	// maxChangeAttempts limits the attempts of one change, all with the same change ID.
	maxChangeAttempts = 5
	// initialChangeBackoff is the delay before the second attempt; it doubles after each.
	initialChangeBackoff = 100 * time.Millisecond
	// inForcePollInterval is the interval at which the state of a revision is polled.
	inForcePollInterval = 100 * time.Millisecond
	changeIDBytes       = 16
	// baseFromCurrent is the value of -base that makes the command read the current
	// revision.
	baseFromCurrent = -1
)

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	by     string
	id     string
	base   int64
	wait   bool
	noWait bool
}

func (c *invocation) registerChangeFlags() {
	c.flags.StringVar(&c.change.by, "by", currentUser(), "`name` of the operator")
	c.flags.StringVar(&c.change.id, "change-id", "", "`ID` of the change, to repeat one whose outcome is unknown; without it a new one")
	c.flags.Int64Var(&c.change.base, "base", baseFromCurrent, "`revision` of the object that the change is based on; -1 reads the present one")
	c.flags.BoolVar(&c.change.wait, "wait", true, "wait until the change is in force")
	c.flags.BoolVar(&c.change.noWait, "no-wait", false, "return when the change is accepted")
}

// applyChange fills in the ID, operator and base revision of a change, applies it
// once, prints the object and, unless -no-wait is set, waits until it is in force.
func (c *invocation) applyChange(ctx context.Context, m *apiv1.ChangeRequest) error {
	m.ChangeId, m.By = c.change.id, c.change.by
	if m.GetChangeId() == "" {
		m.ChangeId = newChangeID()
	}
	tries := c.newChangeTries(m)
	if err := c.setBaseRevision(ctx, m, tries); err != nil {
		return c.changeError(m, err)
	}
	response, err := c.sendChange(ctx, m, tries)
	if err != nil {
		return c.changeError(m, err)
	}
	if err := c.printMessage(response, func() [][]string { return objectRows([]*apiv1.Object{response.GetObject()}) }); err != nil {
		return err
	}
	if c.change.noWait || !c.change.wait {
		_, _ = fmt.Fprintf(c.Err, "accepted at revision %d\n", response.GetAcceptedRevision())
		return nil
	}
	return c.waitInForce(ctx, response)
}

// changeError prints the ID of a change whose outcome is unknown, and returns its error.
func (c *invocation) changeError(m *apiv1.ChangeRequest, err error) error {
	if isUnknown(fromError(err)) {
		_, _ = fmt.Fprintf(c.Err, "change ID %s\n", m.GetChangeId())
	}
	return err
}

func newChangeID() string {
	b := make([]byte, changeIDBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// setBaseRevision sets the base revision to the value of -base or to the current
// revision of the object. An object that does not exist yet has the base revision 0. A
// failed read is reported as not run, because the change has not been sent by this command.
func (c *invocation) setBaseRevision(ctx context.Context, m *apiv1.ChangeRequest, tries *changeTries) error {
	if c.change.base >= 0 {
		m.BaseRevision = uint64(c.change.base)
		return nil
	}
	response, err := c.config().GetObject(ctx, connect.NewRequest(&apiv1.GetObjectRequest{Kind: m.GetKind(), Name: m.GetName()}))
	if err == nil {
		m.BaseRevision = response.Msg.GetObject().GetRevision()
		return nil
	}
	if e := verdict.FromError(err); e.Reason != apiv1.Reason_REASON_CONFIG_UNKNOWN {
		e.Verdict = verdict.NotRun
		if isUnknown(e) {
			e.Reason = apiv1.Reason_REASON_LINK_LOST
		}
		return tries.record(e)
	}
	return nil
}

// sendChange sends a change and retries it under the same change ID while its outcome
// is unknown.
func (c *invocation) sendChange(ctx context.Context, m *apiv1.ChangeRequest, tries *changeTries) (*apiv1.ChangeResponse, error) {
	backoff := initialChangeBackoff
	for try := 1; ; try++ {
		response, err := c.config().Change(ctx, connect.NewRequest(m))
		if err == nil {
			return response.Msg, nil
		}
		if o := conflictObject(err); config.HasChange(o, m.GetChangeId()) {
			return &apiv1.ChangeResponse{Object: o, AcceptedRevision: config.AcceptedRevision(o, m.GetChangeId())}, nil
		}
		err = tries.record(err)
		if try == maxChangeAttempts || !isUnknown(fromError(err)) || !sleep(ctx, backoff) {
			return nil, err
		}
		backoff *= 2
	}
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitInForce polls the state of an accepted change until it is in force.
func (c *invocation) waitInForce(ctx context.Context, response *apiv1.ChangeResponse) error {
	revision := response.GetAcceptedRevision()
	state := response.GetInForce()
	defer c.endProgress()
	for !state.GetInForce() {
		c.progress(revision, state)
		if state != nil && !sleep(ctx, inForcePollInterval) {
			return &inForceUnknownError{revision: revision, reason: interruptionText(ctx, state)}
		}
		r, err := c.config().GetInForce(ctx, connect.NewRequest(&apiv1.GetInForceRequest{Revision: revision}))
		switch {
		case err == nil:
			state = r.Msg.GetInForce()
		case ctx.Err() != nil:
			return &inForceUnknownError{revision: revision, reason: interruptionText(ctx, state)}
		default:
			return &inForceUnknownError{revision: revision, reason: fromError(err).Message}
		}
		if state == nil {
			state = &apiv1.InForce{}
		}
	}
	_, _ = fmt.Fprintf(c.Err, "in force at revision %d\n", revision)
	return nil
}

// interruptionText describes why a wait was interrupted and the last known state.
func interruptionText(ctx context.Context, state *apiv1.InForce) string {
	text := "interrupted"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		text = "-timeout passed"
	}
	if state == nil {
		return text
	}
	return text + " while waiting for " + pendingText(state)
}

// pendingText describes what still has to happen before a change is in force.
func pendingText(state *apiv1.InForce) string {
	var parts []string
	if pending := state.GetPendingEntries(); len(pending) > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d entries: %s", len(pending), state.GetEntries(), strings.Join(pending, ", ")))
	}
	if remaining := time.Duration(state.GetRemainingMs()) * time.Millisecond; remaining > 0 {
		parts = append(parts, fmt.Sprintf("permits given before, which last %s", remaining))
	}
	if len(parts) == 0 {
		return "word of the entries"
	}
	return strings.Join(parts, "; ")
}

// clearLine moves the cursor of a terminal to the start of the line and clears it.
const clearLine = "\r\x1b[K"

func (c *invocation) progress(revision uint64, state *apiv1.InForce) {
	if c.isTerminal() && state != nil {
		_, _ = fmt.Fprintf(c.Err, "%saccepted at revision %d; waiting for %s", clearLine, revision, pendingText(state))
	}
}

func (c *invocation) endProgress() {
	if c.isTerminal() {
		_, _ = fmt.Fprint(c.Err, clearLine)
	}
}

// isTerminal reports whether standard error is a terminal, which can show progress.
func (c *invocation) isTerminal() bool {
	f, ok := c.Err.(interface{ Fd() uintptr })
	return ok && isatty.IsTerminal(f.Fd())
}
