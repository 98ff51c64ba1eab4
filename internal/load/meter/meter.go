// Package meter reads the counters of engines. It uses the statistics endpoint of
// the stand-in engines, since the engine protocol defines no such counters.
package meter

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// timeout bounds the request to one engine, which runs on the same host.
const timeout = 10 * time.Second

// Meter reads the counters of a set of engines.
type Meter struct {
	engines    []string
	httpClient *http.Client
}

// New returns a meter for the engines at the given addresses, each in the form
// IP:port.
func New(engines []string) *Meter {
	return &Meter{engines: engines, httpClient: &http.Client{Timeout: timeout}}
}

// ExportedBytes returns the number of bytes of cached prefixes that the engines
// have exported since they started. It fails if any engine can't be read.
func (m *Meter) ExportedBytes(ctx context.Context) (unit.Bytes, error) {
	sum := unit.Bytes(0)
	for _, engine := range m.engines {
		exported, err := m.exported(ctx, engine)
		if err != nil {
			return 0, errors.Annotatef(err, "read counters of engine %s", engine)
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
	response, err := m.httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("unexpected status %s", response.Status)
	}
	var body struct {
		ExportedBytes unit.Bytes `json:"exported_bytes"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.ExportedBytes, err
}
