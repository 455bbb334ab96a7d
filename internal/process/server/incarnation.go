package server

import "sync/atomic"

// peerIncarnation holds the incarnation of the process at the other end of a link, once
// it is known. It is safe for concurrent use.
type peerIncarnation struct {
	known atomic.Pointer[uint64]
}

func (i *peerIncarnation) set(incarnation uint64) { i.known.Store(&incarnation) }

func (i *peerIncarnation) get() (uint64, bool) {
	known := i.known.Load()
	if known == nil {
		return 0, false
	}
	return *known, true
}
