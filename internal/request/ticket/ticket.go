// Package ticket encodes submission IDs. A ticket contains the entry incarnation that
// issued it (its home), a sequence number and an expiry time. A keyed MAC binds it to
// one owner.
package ticket

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Sizes of an encoded ticket in bytes.
const (
	macSize    = 16
	bodySize   = 1 + 3*8
	TicketSize = bodySize + macSize
)

const formatVersion = 1

// KeySize is the size of a signing key in bytes.
const KeySize = 32

// ID identifies one submission in the fleet: Home is the entry incarnation that issued it,
// Sequence its number there.
type ID struct {
	Home     uint64
	Sequence uint64
}

// Ticket is a decoded submission ID.
type Ticket struct {
	ID
	Expires time.Time
}

// Key signs and verifies tickets.
type Key [KeySize]byte

// Encode returns t signed for one owner of a department.
func (k *Key) Encode(t Ticket, department, owner string) []byte {
	b := make([]byte, 0, TicketSize)
	b = append(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, t.Home)
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Expires.UnixMilli()))
	return append(b, k.mac(b, department, owner)...)
}

// Decode verifies b and returns its ticket. It refuses a malformed ticket with
// REASON_TICKET_INVALID, and both a forged ticket and one of another owner with
// REASON_TICKET_OWNER; all as NotRun.
func (k *Key) Decode(b []byte, department, owner string) (Ticket, *verdict.Error) {
	if len(b) != TicketSize || b[0] != formatVersion {
		return Ticket{}, verdict.NotRunError(apiv1.Reason_REASON_TICKET_INVALID, "malformed ticket of %d bytes", len(b))
	}
	body, mac := b[:bodySize], b[bodySize:]
	if !hmac.Equal(mac, k.mac(body, department, owner)) {
		return Ticket{}, verdict.NotRunError(apiv1.Reason_REASON_TICKET_OWNER, "ticket is not valid for this owner")
	}
	return Ticket{
		ID: ID{
			Home:     binary.BigEndian.Uint64(b[1:]),
			Sequence: binary.BigEndian.Uint64(b[9:]),
		},
		Expires: time.UnixMilli(int64(binary.BigEndian.Uint64(b[17:]))),
	}, nil
}

// IsSameHome reports whether two encoded tickets have the same home. It does not verify
// their MACs.
func IsSameHome(a, b []byte) bool {
	const homeEnd = 1 + 8
	return len(a) == TicketSize && len(b) == TicketSize && bytes.Equal(a[:homeEnd], b[:homeEnd])
}

func (k *Key) mac(body []byte, department, owner string) []byte {
	h := hmac.New(sha256.New, k[:])
	h.Write(body)
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(department)))
	h.Write(length[:])
	h.Write([]byte(department))
	h.Write([]byte(owner))
	return h.Sum(nil)[:macSize]
}
