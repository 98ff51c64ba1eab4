// Package viewer serves the state that an entry VM knows and the age of that
// state.
//
// It is served on the metrics address and needs no credential, because a view
// contains data of neither callers nor programs.
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

// Viewer serves the view of one VM.
type Viewer struct {
	self      snapshot.Member
	snapshots func() *snapshot.Snapshot
	timers    *timer.Service
}

// New returns the viewer of a VM.
func New(self snapshot.Member, snapshots func() *snapshot.Snapshot, timers *timer.Service) *Viewer {
	return &Viewer{self: self, snapshots: snapshots, timers: timers}
}

// Handler returns the handler of GET /v1/view. It logs responses that can't be
// sent.
func (v *Viewer) Handler(log zerolog.Logger) http.Handler {
	mux := goahttp.NewMuxer()
	logFailure := func(_ context.Context, _ http.ResponseWriter, err error) {
		log.Warn().Err(err).Msg("response not sent")
	}
	viewserver.Mount(mux, viewserver.New(view.NewEndpoints(v), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, logFailure, nil))
	return mux
}

// Show returns the current view.
func (v *Viewer) Show(context.Context) (*view.ShowResult, error) {
	s := v.snapshots()
	e := s.Entry
	result := &view.ShowResult{
		VM: string(v.self.VM), Process: string(v.self.Process), Region: string(v.self.Region), Domain: string(v.self.Domain),
		Leaving: e.Leaving, Enrolled: e.Enrolled,
		Upstreams: e.Upstreams, UpstreamsAgeMs: v.ageMillis(e.UpstreamsAsOf),
		Members: []*view.Member{}, MembersAgeMs: v.ageMillis(e.MembersAsOf),
	}
	if e.Routes != nil {
		result.RoutesVersion, result.Routes, result.RoutesAgeMs = uint64(e.Routes.Version), e.Routes.Len(), v.ageMillis(e.RoutesAsOf)
	}
	if s.Configuration != nil {
		result.ConfigurationVersion, result.ConfigurationAgeMs = uint64(s.Configuration.Version), v.ageMillis(s.ConfigurationAsOf)
	}
	for _, m := range e.Members {
		result.Members = append(result.Members, &view.Member{
			VM: string(m.VM), Domain: string(m.Domain), Region: string(m.Region), CallerAddress: m.Address, RequestAddress: m.RequestAddress,
		})
	}
	return result, nil
}

// ageMillis returns the time since a read in milliseconds, or nil if there was none.
func (v *Viewer) ageMillis(asOf time.Time) *int64 {
	if asOf.IsZero() {
		return nil
	}
	millis := max(0, v.timers.Now().Sub(asOf).Milliseconds())
	return &millis
}
