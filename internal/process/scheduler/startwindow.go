package scheduler

const (
	// startWindowBytes bounds the starts sent to a target that its agent has not answered yet. All
	// starts that wait for a link are encoded as one frame, and the agent holds each until its target
	// has answered: without a bound a job of many tasks with a long spec takes hundreds of times the
	// size of its request at both.
	startWindowBytes = 256 << 10
	// startBytes is what a start counts beside its spec.
	startBytes = 1 << 10
)

// startWindow counts the bytes of the starts sent to a target that its agent has neither confirmed nor
// refused.
type startWindow struct{ bytes int }

// admits reports whether a further start may be sent. One always may, however long its spec.
func (w *startWindow) admits(it *item) bool {
	return w.bytes == 0 || w.bytes+startSize(it) <= startWindowBytes
}

func startSize(it *item) int { return startBytes + len(it.job.spec.Spec) }

// add counts the start of an attempt.
func (w *startWindow) add(at *attempt) {
	at.unanswered = startSize(at.item)
	w.bytes += at.unanswered
}

// release ends the counting of an attempt, once its start is answered.
func (w *startWindow) release(at *attempt) {
	w.bytes -= at.unanswered
	at.unanswered = 0
}

// takesStart reports whether a start may be sent to the target now, whatever it needs.
func (t *target) takesStart(it *item) bool { return !t.full && t.window.admits(it) }

// resetWindow releases all attempts, since nothing sent on an earlier link waits any more.
func (t *target) resetWindow() {
	for _, at := range t.attempts {
		at.unanswered = 0
	}
	t.window = startWindow{}
}
