package sassafrasspur

import (
	"net"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// observePlatform counts a request to the platform. The table's operation is in
// a header, since all of them are sent by POST.
func (n *Node) observePlatform(request *http.Request, err error) {
	if request.Method == http.MethodPut || strings.HasSuffix(request.Header.Get("X-Amz-Target"), ".TransactWriteItems") {
		n.meter.CountWrite()
	} else {
		n.meter.CountRead()
	}
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		n.meter.CountTimeout()
	}
}
