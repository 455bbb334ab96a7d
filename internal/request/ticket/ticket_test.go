package ticket

import (
	"testing"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	key := Key{1}
	want := Ticket{ID: ID{Home: 7, Sequence: 9}, Expires: time.UnixMilli(123456)}
	got, err := key.Decode(key.Encode(want, "desk", "mama"), "desk", "mama")
	if err != nil || got != want {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}

func TestDecodeRefusesInvalidTickets(t *testing.T) {
	key := Key{1}
	good := key.Encode(Ticket{ID: ID{Home: 7, Sequence: 9}}, "desk", "mama")
	forged := append([]byte(nil), good...)
	forged[10] ^= 1
	for name, test := range map[string]struct {
		ticket            []byte
		department, owner string
		reason            apiv1.Reason
	}{
		"forged":               {forged, "desk", "mama", apiv1.Reason_REASON_TICKET_OWNER},
		"of another owner":     {good, "desk", "baba", apiv1.Reason_REASON_TICKET_OWNER},
		"of another desk":      {good, "lift", "mama", apiv1.Reason_REASON_TICKET_OWNER},
		"with a moved border":  {good, "des", "kmama", apiv1.Reason_REASON_TICKET_OWNER},
		"truncated":            {good[:20], "desk", "mama", apiv1.Reason_REASON_TICKET_INVALID},
		"empty":                {nil, "desk", "mama", apiv1.Reason_REASON_TICKET_INVALID},
		"of a foreign version": {append([]byte{99}, good[1:]...), "desk", "mama", apiv1.Reason_REASON_TICKET_INVALID},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := key.Decode(test.ticket, test.department, test.owner)
			if err == nil || err.Reason != test.reason || err.Verdict != apiv1.Verdict_VERDICT_NOT_RUN {
				t.Errorf("got %v, want %v as not run", err, test.reason)
			}
		})
	}
}
