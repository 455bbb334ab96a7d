package agent

import (
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// A grant counts from the heartbeat that it answers. One that is lost, late, repeated or not
// asked for must not let the agent start tasks for longer than the entry has vouched for.
func TestLostOrRepeatedGrantDoesNotLengthenThePermit(t *testing.T) {
	const length = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		a := &Agent{config: config.NewView()}
		s := &session{agent: a, sentAt: make(map[uint64]time.Time), replies: make(map[uint64]chan struct{})}
		grant := func(replyTo uint64) {
			s.handleHeartbeat(&peerv1.Heartbeat{ReplyTo: replyTo, PermitMs: uint32(length.Milliseconds())})
		}
		want := func(when string, remaining time.Duration) {
			t.Helper()
			if got := a.permit.remaining(time.Now()); got != remaining {
				t.Errorf("%s: %v remain, want %v", when, got, remaining)
			}
		}
		begin := time.Now()
		s.sentAt[1] = begin
		time.Sleep(time.Second)
		s.sentAt[2] = time.Now() // its grant is lost
		s.sentAt[3] = time.Now()
		grant(3)
		want("granted", length)
		time.Sleep(time.Second)
		grant(1)
		want("late grant of an earlier heartbeat", length-time.Second)
		grant(3)
		want("repeated grant", length-time.Second)
		grant(0)
		grant(9)
		want("grants not asked for", length-time.Second)
		time.Sleep(length)
		if a.permit.isValid(time.Now()) {
			t.Error("the permit outlives its length")
		}
	})
}
