// Package viewer answers what an entry VM believes and how old that is.
//
// It needs no credential, because a view has neither callers nor programs, and is
// served on the metrics address.
package viewer

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	goahttp "goa.design/goa/v3/http"

	viewserver "github.com/sassafrasspur/sassafrasspur/gen/http/view/server"
	"github.com/sassafrasspur/sassafrasspur/gen/view"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Viewer describes one VM.
type Viewer struct {
	self      snapshot.Member
	snapshots func() *snapshot.Snapshot
	timers    *timer.Service
}

// New returns the viewer of a VM.
func New(self snapshot.Member, snapshots func() *snapshot.Snapshot, timers *timer.Service) *Viewer {
	return &Viewer{self: self, snapshots: snapshots, timers: timers}
}

// Handler returns the handler of GET /v1/view. Answers that can't be sent are
// logged.
func (v *Viewer) Handler(log zerolog.Logger) http.Handler {
	mux := goahttp.NewMuxer()
	failed := func(_ context.Context, _ http.ResponseWriter, err error) {
		log.Warn().Err(err).Msg("response not sent")
	}
	viewserver.Mount(mux, viewserver.New(view.NewEndpoints(v), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, failed, nil))
	return mux
}

// Show returns the newest view.
func (v *Viewer) Show(context.Context) (*view.ShowResult, error) {
	s := v.snapshots()
	e := s.Entry
	result := &view.ShowResult{
		VM: string(v.self.VM), Process: string(v.self.Process), Region: string(v.self.Region), Domain: string(v.self.Domain),
		Leaving: e.Leaving, Enrolled: e.Enrolled,
		Upstreams: e.Upstreams, UpstreamsAgeMs: v.age(e.UpstreamsAsOf),
		Members: []*view.Member{}, MembersAgeMs: v.age(e.MembersAsOf),
	}
	if e.Routes != nil {
		result.RoutesVersion, result.Routes, result.RoutesAgeMs = uint64(e.Routes.Version), e.Routes.Len(), v.age(e.RoutesAsOf)
	}
	if s.Configuration != nil {
		result.ConfigurationVersion, result.ConfigurationAgeMs = uint64(s.Configuration.Version), v.age(s.ConfigurationAsOf)
	}
	for _, m := range e.Members {
		result.Members = append(result.Members, &view.Member{
			VM: string(m.VM), Domain: string(m.Domain), Region: string(m.Region), CallerAddress: m.Address, RequestAddress: m.RequestAddress,
		})
	}
	return result, nil
}

// age is the time since a read in milliseconds, nil without one.
func (v *Viewer) age(asOf time.Time) *int64 {
	if asOf.IsZero() {
		return nil
	}
	age := max(0, v.timers.Now().Sub(asOf).Milliseconds())
	return &age
}
