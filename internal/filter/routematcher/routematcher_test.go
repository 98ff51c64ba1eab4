package routematcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/routematcher"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// match matches the request of a line to a table with the route /known/, of the age in the
// line.
func match(line string) string {
	f := goldentest.Parse(line)
	clock := timer.NewManual(time.Unix(1000, 0))
	timers := timer.New(timer.WithManual(clock))
	var view snapshot.Snapshot
	if !f.Has("unread") {
		routes := []routing.Route{{
			ID: "r", Host: "host", Prefix: "/known/", Timeout: time.Second, Kind: routing.Stream{Retained: true},
			Destinations: []routing.Destination{{Pool: "pool", Weight: 1}},
		}}
		view.Entry.Routes, view.Entry.RoutesAsOf = routing.New(1, routes, nil, routing.Limits{}), timers.Now().Add(-f.Duration("age"))
	}
	x := &traffic.Exchange{Request: traffic.Request{ID: "request", Host: "host", Path: f["path"], Program: &traffic.Program{Previous: ident.RequestID(f["previous"])}}}
	filter := routematcher.New(func() *snapshot.Snapshot { return &view }, timers, 4*time.Second)
	err := filter.Serve(context.Background(), x, func(context.Context, *traffic.Exchange) error { return nil })
	if known := failure.From(err); known != nil {
		return fmt.Sprintf("%s not_run=%t retry_after=%s", known.Kind, known.NotRun, known.RetryAfter)
	}
	return "matched"
}

// TestUnknownRoute guards against a request that is answered as if its route did not
// exist by a VM that has not learned of the route yet.
func TestUnknownRoute(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", match)).To(Succeed())
}
