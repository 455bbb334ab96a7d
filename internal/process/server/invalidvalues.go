package server

import (
	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
)

// errInvalidValue reports a stored value that cannot be used.
var errInvalidValue = eris.New("stored value is invalid")

// recordUnreadable records the values of a listing whose keys could not be read.
func recordUnreadable(invalid *eventlog.InvalidValues, prefix string, listing store.Listing) {
	if listing.Unreadable > 0 {
		invalid.Record(prefix, 0, eris.Errorf("%d values without a readable key", listing.Unreadable))
	}
}
