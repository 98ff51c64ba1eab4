// Package meter reads counters of engines. The path is that of the stand-ins,
// since the protocol of engines has no such counters.
package meter

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// timeout bounds the read of one engine on loopback.
const timeout = 10 * time.Second

// Meter reads the counters of a set of engines.
type Meter struct {
	engines []string
	doer    *http.Client
}

// New returns a meter of the engines at addresses, each an IP address and a
// port.
func New(engines []string) *Meter {
	return &Meter{engines: engines, doer: &http.Client{Timeout: timeout}}
}

// Exported returns the bytes of prefixes that the engines have exported since
// their start. It returns an error if an engine can't be read.
func (m *Meter) Exported(ctx context.Context) (unit.Bytes, error) {
	sum := unit.Bytes(0)
	for _, engine := range m.engines {
		exported, err := m.exported(ctx, engine)
		if err != nil {
			return 0, errors.Annotatef(err, "the counters of engine %s can't be read", engine)
		}
		sum += exported
	}
	return sum, nil
}

func (m *Meter) exported(ctx context.Context, engine string) (unit.Bytes, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine+"/standin/stats", nil)
	if err != nil {
		return 0, err
	}
	response, err := m.doer.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("the status is %s", response.Status)
	}
	var body struct {
		ExportedBytes unit.Bytes `json:"exported_bytes"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.ExportedBytes, err
}
