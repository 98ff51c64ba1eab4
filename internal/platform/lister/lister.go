// Package lister reads the platform's list of VMs, which lags behind the truth.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/platform/requester"
)

const (
	defaultTimeout = 2 * time.Second
	// maxBytes is about 50 times the size of a list of 2,600 upstreams.
	maxBytes = 8 << 20
)

// Lister is a client of the VM list. It may be used concurrently.
type Lister struct {
	requester *requester.Requester
	endpoint  string
	timeout   time.Duration
	observe   func(*http.Request, error)
}

// Option changes how New builds a Lister.
type Option func(*Lister)

// WithEndpoint sets the URL of the service that has the list.
func WithEndpoint(url string) Option { return func(l *Lister) { l.endpoint = url } }

// WithTimeout bounds one request.
func WithTimeout(d time.Duration) Option { return func(l *Lister) { l.timeout = d } }

// WithObserver sets what is told of each request and its failure.
func WithObserver(observe func(*http.Request, error)) Option {
	return func(l *Lister) { l.observe = observe }
}

// New returns a client of the VM list.
func New(options ...Option) *Lister {
	l := &Lister{timeout: defaultTimeout, observe: func(*http.Request, error) {}}
	for _, option := range options {
		option(l)
	}
	l.requester = requester.New(requester.WithTimeout(l.timeout), requester.WithObserver(l.observe))
	return l
}

// List reads the list. A list with an unknown state is an error as a whole.
func (l *Lister) List(ctx context.Context) ([]message.UpstreamState, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.endpoint+"/v1/vms", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := l.requester.Do(request)
	if err != nil {
		return nil, errors.Annotate(err, "listing VMs")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("listing VMs: status %d", response.StatusCode)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return nil, errors.Annotate(err, "listing VMs")
	}
	var list struct {
		VMs *[]struct {
			Address string `json:"address"`
			State   string `json:"state"`
		} `json:"vms"`
	}
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, errors.Annotate(err, "listing VMs")
	}
	if list.VMs == nil {
		return nil, errors.NotValidf("VM list without vms")
	}
	states := make([]message.UpstreamState, 0, len(*list.VMs))
	for _, vm := range *list.VMs {
		switch vm.State {
		case "live", "leaving":
			states = append(states, message.UpstreamState{Address: vm.Address, Leaving: vm.State == "leaving"})
		default:
			return nil, errors.NotValidf("state %q of VM %s", vm.State, vm.Address)
		}
	}
	return states, nil
}
