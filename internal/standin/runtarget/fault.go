package runtarget

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// The errors of calls without an answer.
var (
	ErrSilent  = eris.New("no answer")
	ErrReset   = eris.New("connection reset")
	ErrRefused = eris.New("connection refused")
)

// Fault is what happens to one call.
type Fault int

// The faults of a call. None is the healthy case.
const (
	None Fault = iota
	// Silent: executed, but not answered.
	Silent
	// Lost: neither executed nor answered.
	Lost
	// Late: executed after a delay, by the incarnation of that time, and not answered.
	Late
	// Reset: the connection breaks before the call is executed.
	Reset
	// ResetExecuted: the connection breaks after the call was executed.
	ResetExecuted
	// ResetLate: the connection breaks, and the call is executed after a delay.
	ResetLate
	// Busy: not executed; the answer is Unhealthy.
	Busy
	faults
)

// effects says of each fault whether the call is executed at once or late, and the error in
// place of an answer.
var effects = [faults]struct {
	executed, late bool
	err            error
}{
	None:          {executed: true},
	Silent:        {executed: true, err: ErrSilent},
	Lost:          {err: ErrSilent},
	Late:          {late: true, err: ErrSilent},
	Reset:         {err: ErrReset},
	ResetExecuted: {executed: true, err: ErrReset},
	ResetLate:     {late: true, err: ErrReset},
	Busy:          {},
}

// Chances holds the probability of each fault; they add up to 1 at most.
type Chances [faults]float64

// Mix is a set of faults that befall calls, each call independently of the others.
type Mix struct {
	Chances [kinds]Chances
	// MaxDelay is the longest delay of a call that is late.
	MaxDelay time.Duration
	Seed     uint64
}

// All returns the same chances for all kinds of calls.
func All(c Chances) [kinds]Chances { return [kinds]Chances{c, c, c} }

// window is a period in which a mix is in force.
type window struct{ Mix }

// callKey identifies the calls of one kind about one attempt.
type callKey struct {
	kind    Kind
	attempt task.Attempt
}

// Disturb puts a mix in force, beside those that are already, and returns a function that ends
// it. Of several faults of a call the latest mix decides.
func (t *Target) Disturb(m Mix) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &window{m}
	t.windows = append(t.windows, w)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.windows = slices.DeleteFunc(t.windows, func(other *window) bool { return other == w })
	}
}

// Next sets the faults of the next calls of a kind, one by one. They go before those of Disturb.
func (t *Target) Next(k Kind, faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scripted[k] = append(t.scripted[k], faults...)
}

// Do executes a call, subject to the faults in force. A call without an answer waits until ctx
// ends, unless the connection breaks.
func (t *Target) Do(ctx context.Context, c Call) (Reply, error) {
	reply, err := t.receive(c)
	if errors.Is(err, ErrSilent) {
		<-ctx.Done()
	}
	if err != nil || c.Kind != Poll || reply.Answer != Done {
		return reply, err
	}
	return t.awaitEnd(ctx, reply, c.Wait)
}

// receive draws the fault of a call, executes it unless the fault prevents that, and returns
// the answer.
func (t *Target) receive(c Call) (Reply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, delay := t.drawLocked(&c)
	if effects[f].late {
		time.AfterFunc(delay, func() { t.executeLate(c) })
	}
	switch {
	case !t.up && t.refuses:
		return Reply{}, ErrRefused
	case !t.up:
		return Reply{}, ErrSilent
	case f == Busy:
		return Reply{Answer: Unhealthy}, nil
	case effects[f].executed:
		return t.executeLocked(&c), effects[f].err
	}
	return Reply{}, effects[f].err
}

func (t *Target) executeLate(c Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.up {
		t.executeLocked(&c)
	}
}

// awaitEnd waits until a run ends, if the answer to a poll lists none. The answer is lost if the
// incarnation ends meanwhile.
func (t *Target) awaitEnd(ctx context.Context, reply Reply, wait time.Duration) (Reply, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for len(reply.Ended) == 0 {
		latest, changed := t.report()
		if latest.Incarnation != reply.Incarnation {
			<-ctx.Done()
			return Reply{}, ErrSilent
		}
		reply = latest
		if len(reply.Ended) > 0 {
			break
		}
		select {
		case <-changed:
		case <-timeout.C:
			return reply, nil
		case <-ctx.Done():
			return Reply{}, ErrSilent
		}
	}
	return reply, nil
}

// report returns the answer to a poll, without an incarnation while the target is down, and a
// channel that is closed once it changes.
func (t *Target) report() (Reply, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		return Reply{}, t.changed
	}
	return t.reportLocked(), t.changed
}

// drawLocked returns the fault of a call and the delay of one that is late. The draw depends on
// the seed and on the earlier calls about the same attempt only, not on other calls.
func (t *Target) drawLocked(c *Call) (Fault, time.Duration) {
	if next := t.scripted[c.Kind]; len(next) > 0 {
		t.scripted[c.Kind] = next[1:]
		return next[0], 0
	}
	key := callKey{kind: c.Kind, attempt: c.attempt()}
	n := t.calls[key]
	t.calls[key]++
	for _, w := range slices.Backward(t.windows) {
		if f, delay := w.draw(key, n); f != None {
			return f, delay
		}
	}
	return None, 0
}

// draw returns the fault of the n-th call with a key.
func (w *window) draw(key callKey, n uint64) (Fault, time.Duration) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key.attempt.Key.String()))
	random := rand.New(rand.NewPCG(w.Seed^h.Sum64(), uint64(key.kind)<<56^key.attempt.Run<<32^n))
	at := random.Float64()
	for f, chance := range w.Chances[key.kind] {
		if at -= chance; at < 0 {
			return Fault(f), time.Duration(random.Float64() * float64(w.MaxDelay))
		}
	}
	return None, 0
}
