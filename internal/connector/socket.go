package connector

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout limits how long sent data may stay unacknowledged before the
	// kernel closes the connection. Shorter timeouts close connections when a few
	// packets in a row are lost.
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the idle time before the first keep-alive probe and
	// the time between probes.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// SetTCPTimeouts sets the TCP options that make the kernel close a connection whose
// peer no longer responds. It is the Control function of a net.Dialer.
func SetTCPTimeouts(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		for _, option := range []struct{ level, name, value int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveInterval.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes},
		} {
			if err := unix.SetsockoptInt(int(fd), option.level, option.name, option.value); err != nil {
				optionErr = errors.Annotatef(err, "set socket option %d", option.name)
				return
			}
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}

// isIdle reports whether a connection is open and has no bytes to read.
func isIdle(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}
