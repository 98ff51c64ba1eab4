package connector

import (
	"net"

	"github.com/juju/errors"
)

// ErrReadLimit is the error of a read beyond the limit of a connection.
const ErrReadLimit = errors.ConstError("more bytes than allowed; the peer may send without end")

// unlimited is the number of bytes left if there is no limit.
const unlimited = -1

// limitedSource reads from a connection up to a limit. net/http has no limit for the
// head of a response that it reads from a bufio.Reader.
type limitedSource struct {
	conn net.Conn
	left int
}

// Read reads the next bytes from the network.
func (s *limitedSource) Read(p []byte) (int, error) {
	if s.left == unlimited {
		return s.conn.Read(p)
	}
	if s.left == 0 {
		return 0, ErrReadLimit
	}
	n, err := s.conn.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}
