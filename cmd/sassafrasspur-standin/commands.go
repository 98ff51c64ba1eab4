package main

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/engine"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/server"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/service"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

type storeCommand struct {
	Listen  string   `long:"listen" default:"127.0.0.1:0" description:"address of the store and of its control paths"`
	Servers []string `long:"server" description:"address that is ready in the list of upstreams from the start; may be repeated"`
}

// Execute runs the store.
func (c *storeCommand) Execute([]string) error {
	store := rowstore.New()
	control := rowserver.NewControl(store)
	for _, address := range c.Servers {
		if err := control.List(address, false); err != nil {
			return err
		}
	}
	s := server.New()
	if err := s.Listen("store", c.Listen, control.Handler(rowserver.New(store))); err != nil {
		return err
	}
	return serve(s)
}

type engineCommand struct {
	Listen      []string `long:"listen" default:"127.0.0.1:0" description:"address of an engine; may be repeated"`
	Slots       int      `long:"slots" default:"16" description:"largest batch"`
	Queue       int      `long:"queue" default:"256" description:"requests that may wait"`
	Prefill     int64    `long:"prefill" default:"8000" description:"prefill tokens a second for each request; 0 is immediate"`
	Decode      float64  `long:"decode-ms" default:"20" description:"duration of a decode step in milliseconds"`
	Growth      float64  `long:"decode-growth-ms" default:"0.5" description:"growth of a decode step for each request of the batch in milliseconds"`
	Cache       int64    `long:"cache-tokens" default:"500000" description:"tokens that the prefix cache holds"`
	EventLag    float64  `long:"event-lag-ms" default:"500" description:"time until a cache event is visible in milliseconds"`
	EventGap    int      `long:"event-gap" default:"0" description:"leave out every n-th cache event; 0 leaves out none"`
	LoadLag     float64  `long:"load-lag-ms" default:"500" description:"age of the load report in milliseconds"`
	Linger      float64  `long:"linger-ms" default:"5000" description:"time that a request goes on after its client has gone in milliseconds"`
	Retention   float64  `long:"retention-ms" default:"30000" description:"time that a finished request can be resumed in milliseconds"`
	Shortest    float64  `long:"shortest" default:"1" description:"shortest answer as a part of max_tokens"`
	KVBytes     int64    `long:"kv-bytes" default:"4" description:"bytes of a token in an exported prefix"`
	CheckEpochs bool     `long:"fencing" description:"reject orders and releases of old epochs"`
}

// Execute runs the engines.
func (c *engineCommand) Execute([]string) error {
	s := server.New()
	for _, address := range c.Listen {
		instance := engine.New(
			engine.WithSlots(c.Slots), engine.WithQueue(c.Queue), engine.WithPrefill(unit.Tokens(c.Prefill)),
			engine.WithDecode(milliseconds(c.Decode), milliseconds(c.Growth)),
			engine.WithCacheLimit(unit.Tokens(c.Cache)), engine.WithEventLag(milliseconds(c.EventLag)),
			engine.WithGapEvery(c.EventGap), engine.WithLoadLag(milliseconds(c.LoadLag)),
			engine.WithLinger(milliseconds(c.Linger)), engine.WithRetention(milliseconds(c.Retention)),
			engine.WithShortest(unit.Ratio(c.Shortest)), engine.WithKVBytes(unit.Bytes(c.KVBytes)),
			engine.WithFencing(c.CheckEpochs),
		)
		defer instance.Close()
		if err := s.Listen("engine", address, instance.Handler()); err != nil {
			return err
		}
	}
	return serve(s)
}

type serviceCommand struct {
	Listen  []string `long:"listen" default:"127.0.0.1:0" description:"address of a service; may be repeated"`
	Slots   int      `long:"slots" default:"8" description:"operations that run side by side"`
	Queue   int      `long:"queue" default:"256" description:"operations that may wait"`
	Run     float64  `long:"run-ms" default:"50" description:"run time of an operation in milliseconds"`
	LoadLag float64  `long:"load-lag-ms" default:"500" description:"age of the load report in milliseconds"`
	LookUps []string `long:"look-up" default:"look_up" description:"idempotent operation; all others are filings; may be repeated"`
}

// Execute runs the services.
func (c *serviceCommand) Execute([]string) error {
	lookUps := make([]ident.Operation, 0, len(c.LookUps))
	for _, name := range c.LookUps {
		lookUps = append(lookUps, ident.Operation(name))
	}
	s := server.New()
	for _, address := range c.Listen {
		instance := service.New(
			service.WithSlots(c.Slots), service.WithQueue(c.Queue), service.WithDuration(milliseconds(c.Run)),
			service.WithLoadLag(milliseconds(c.LoadLag)), service.WithLookUps(lookUps...),
		)
		defer instance.Close()
		if err := s.Listen("service", address, instance.Handler()); err != nil {
			return err
		}
	}
	return serve(s)
}
