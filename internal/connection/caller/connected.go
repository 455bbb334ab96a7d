package caller

import (
	"context"
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// IsConnected reports whether the client of the request with this context has kept its
// connection open. It asks the kernel and does not block: after a pause of the process, the
// engine may read the end of a connection later than its last request.
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
		switch {
		case err != nil:
			ended = !isTransient(err)
		case n > 0:
			ended = hasEndBehindData(int(fd))
		default:
			ended = true
		}
	})
	return ended || err != nil
}

// hasEndBehindData reports whether a connection with unread data, such as a further request or
// the closing alert of TLS, has ended behind them. If the kernel does not say so, it has not.
func hasEndBehindData(fd int) bool {
	const end = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(state, 0)
	return err == nil && n == 1 && state[0].Revents&end != 0
}

// isTransient reports whether a read failed for a reason that says nothing about the connection.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}
