package caller

import (
	"context"
	"errors"
	"syscall"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// IsConnected reports whether the client of the request with this context has kept its
// connection open. It asks the kernel and does not block: after a pause of the process, the
// engine may read the end of a connection later than its last request. A client that has sent
// a further request counts as connected until that one has been read.
func IsConnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(pollableConn)
	if !ok {
		return ctx.Err() == nil
	}
	ended := hasEnded(conn)
	// The engine may have closed the connection meanwhile, and its descriptor may be that of
	// another one.
	closed, _ := conn.IsClosed()
	return !ended && !closed && ctx.Err() == nil
}

// hasEnded reports whether the client has closed or reset a connection.
func hasEnded(conn pollableConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && !isTransient(err)
	})
	return ended || err != nil
}

// isTransient reports whether a read failed for a reason that says nothing about the connection.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}
