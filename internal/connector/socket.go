package connector

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// silenceLimit ends a connection whose peer acknowledges nothing. Shorter
	// limits end connections when a few packets in a row are lost.
	silenceLimit = 1500 * time.Millisecond
	// probeInterval is the time between keep-alive probes of an idle
	// connection.
	probeInterval = time.Second
	probeCount    = 2
)

// BoundSilence makes the system end a connection that went silent. It is the
// Control function of a dialer.
func BoundSilence(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		for _, option := range []struct{ level, name, value int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds())},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeInterval.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeInterval.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
		} {
			if err := unix.SetsockoptInt(int(fd), option.level, option.name, option.value); err != nil {
				failed = errors.Annotatef(err, "set socket option %d", option.name)
				return
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// isQuiet reports whether an idle connection is open and has no bytes to read.
func isQuiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
