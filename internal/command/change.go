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
)

const (
	// changeTries bounds the tries of one change under its change ID.
	changeTries = 5
	// changeBackoff is the time before the second try; it doubles.
	changeBackoff = 100 * time.Millisecond
	// inForceInterval is the time between looks at a revision.
	inForceInterval = 100 * time.Millisecond
	changeIDBytes   = 16
	// readBase is the value of -base that reads the present revision.
	readBase = -1
)

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	by     string
	id     string
	base   int64
	wait   bool
	noWait bool
}

func (c *call) changeFlags() {
	c.flags.StringVar(&c.change.by, "by", currentUser(), "`name` of the operator")
	c.flags.StringVar(&c.change.id, "change-id", "", "`ID` of the change, to repeat one whose outcome is unknown; without it a new one")
	c.flags.Int64Var(&c.change.base, "base", readBase, "`revision` of the object that the change is based on; -1 reads the present one")
	c.flags.BoolVar(&c.change.wait, "wait", true, "wait until the change is in force")
	c.flags.BoolVar(&c.change.noWait, "no-wait", false, "return when the change is accepted")
}

// applyChange completes a change, applies it once, prints the object and waits
// until it is in force.
func (c *call) applyChange(ctx context.Context, m *apiv1.ChangeRequest) error {
	m.ChangeId, m.By = c.change.id, c.change.by
	if m.GetChangeId() == "" {
		m.ChangeId = newChangeID()
	}
	if err := c.setBase(ctx, m); err != nil {
		return err
	}
	response, err := c.tryChange(ctx, m)
	if err != nil {
		if isUnknown(fromError(err)) {
			_, _ = fmt.Fprintf(c.Err, "change ID %s\n", m.GetChangeId())
		}
		return err
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

func newChangeID() string {
	b := make([]byte, changeIDBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// setBase bases a change on the flag -base or on the present revision.
func (c *call) setBase(ctx context.Context, m *apiv1.ChangeRequest) error {
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
		return e
	}
	return nil
}

// tryChange repeats a change under its ID while its outcome is unknown.
func (c *call) tryChange(ctx context.Context, m *apiv1.ChangeRequest) (*apiv1.ChangeResponse, error) {
	backoff := changeBackoff
	for try := 1; ; try++ {
		response, err := c.config().Change(ctx, connect.NewRequest(m))
		if err == nil {
			return response.Msg, nil
		}
		if try == changeTries || !isUnknown(fromError(err)) || !pause(ctx, backoff) {
			return nil, err
		}
		backoff *= 2
	}
}

// pause waits; it reports false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitInForce waits until an accepted change is in force.
func (c *call) waitInForce(ctx context.Context, response *apiv1.ChangeResponse) error {
	revision := response.GetAcceptedRevision()
	state := response.GetInForce()
	defer c.endProgress()
	for !state.GetInForce() {
		c.progress(revision, state)
		if state != nil && !pause(ctx, inForceInterval) {
			return &pendingError{revision: revision, why: interruption(ctx, state)}
		}
		r, err := c.config().GetInForce(ctx, connect.NewRequest(&apiv1.GetInForceRequest{Revision: revision}))
		switch {
		case err == nil:
			state = r.Msg.GetInForce()
		case ctx.Err() != nil:
			return &pendingError{revision: revision, why: interruption(ctx, state)}
		default:
			return &pendingError{revision: revision, why: fromError(err).Message}
		}
		if state == nil {
			state = &apiv1.InForce{}
		}
	}
	_, _ = fmt.Fprintf(c.Err, "in force at revision %d\n", revision)
	return nil
}

// interruption says why a wait ended and what was known then.
func interruption(ctx context.Context, state *apiv1.InForce) string {
	why := "interrupted"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		why = "-timeout passed"
	}
	if state == nil {
		return why
	}
	return why + " while waiting for " + pendingText(state)
}

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

// clearLine returns to the start of a terminal's line and clears it.
const clearLine = "\r\x1b[K"

func (c *call) progress(revision uint64, state *apiv1.InForce) {
	if c.isTerminal() && state != nil {
		_, _ = fmt.Fprintf(c.Err, "%saccepted at revision %d; waiting for %s", clearLine, revision, pendingText(state))
	}
}

func (c *call) endProgress() {
	if c.isTerminal() {
		_, _ = fmt.Fprint(c.Err, clearLine)
	}
}

// isTerminal reports whether progress can be shown.
func (c *call) isTerminal() bool {
	f, ok := c.Err.(interface{ Fd() uintptr })
	return ok && isatty.IsTerminal(f.Fd())
}
