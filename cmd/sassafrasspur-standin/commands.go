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
	Listen  string   `long:"listen" default:"127.0.0.1:0" description:"listen address of the store and its control API"`
	Servers []string `long:"server" description:"address of an upstream that is registered at the start; may be repeated"`
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
	Listen      []string `long:"listen" default:"127.0.0.1:0" description:"listen address of an engine; may be repeated"`
	Slots       int      `long:"slots" default:"16" description:"maximum batch size"`
	Queue       int      `long:"queue" default:"256" description:"maximum number of queued requests"`
	Prefill     int64    `long:"prefill" default:"8000" description:"prefill rate of each request in tokens per second; 0 makes prefill immediate"`
	Decode      float64  `long:"decode-ms" default:"20" description:"base duration of a decode step in milliseconds"`
	Growth      float64  `long:"decode-growth-ms" default:"0.5" description:"additional duration of a decode step in milliseconds for each request in the batch"`
	Cache       int64    `long:"cache-tokens" default:"500000" description:"capacity of the prefix cache in tokens"`
	EventLag    float64  `long:"event-lag-ms" default:"500" description:"delay in milliseconds after which a cache event becomes visible"`
	EventGap    int      `long:"event-gap" default:"0" description:"omit every n-th cache event; 0 omits none"`
	LoadLag     float64  `long:"load-lag-ms" default:"500" description:"delay of the load report in milliseconds"`
	Linger      float64  `long:"linger-ms" default:"5000" description:"time in milliseconds for which a request continues after its client has disconnected"`
	Retention   float64  `long:"retention-ms" default:"30000" description:"time in milliseconds for which a finished request can be resumed"`
	Shortest    float64  `long:"shortest" default:"1" description:"length of the shortest answers as a fraction of max_tokens"`
	KVBytes     int64    `long:"kv-bytes" default:"4" description:"bytes per token in an exported prefix"`
	CheckEpochs bool     `long:"fencing" description:"reject orders and releases with an outdated epoch"`
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
	Listen  []string `long:"listen" default:"127.0.0.1:0" description:"listen address of a service; may be repeated"`
	Slots   int      `long:"slots" default:"8" description:"maximum number of concurrent operations"`
	Queue   int      `long:"queue" default:"256" description:"maximum number of queued operations"`
	Run     float64  `long:"run-ms" default:"50" description:"duration of an operation in milliseconds"`
	LoadLag float64  `long:"load-lag-ms" default:"500" description:"delay of the load report in milliseconds"`
	LookUps []string `long:"look-up" default:"look_up" description:"idempotent operation, all others being non-idempotent; may be repeated"`
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
