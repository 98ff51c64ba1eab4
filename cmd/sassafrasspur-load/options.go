package main

import (
	"context"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/client"
	"github.com/sassafrasspur/sassafrasspur/internal/load/driver"
	"github.com/sassafrasspur/sassafrasspur/internal/load/meter"
	"github.com/sassafrasspur/sassafrasspur/internal/load/reporter"
	"github.com/sassafrasspur/sassafrasspur/internal/load/sizer"
	"github.com/sassafrasspur/sassafrasspur/internal/load/workload"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// sampleRate (programs per second) and sampleDuration give a sample of about
	// 3,000 programs, whose mean demand is within a few percent of the workload's.
	sampleRate     = 100
	sampleDuration = 30 * time.Second
	// overloadFactor is the arrival rate of an overload as a multiple of the
	// capacity.
	overloadFactor = 2
	// goodputWindow contains some tens of programs at the usual rates.
	goodputWindow = 3 * time.Second
)

type options struct {
	Workload string            `long:"workload" choice:"padang_bersama" choice:"schoolmaal_loket" required:"yes" description:"workload to run"`
	Policy   string            `long:"policy" default:"product" description:"policy of the entry VMs; only copied to the output"`
	Seed     uint64            `long:"seed" default:"1" description:"seed of the workload"`
	Servers  map[string]string `long:"server" key-value-delimiter:"=" value-name:"IP:PORT=REGION" required:"yes" description:"address of an entry VM and its region; may be repeated"`
	Token    string            `long:"token" description:"credential of the caller account"`
	Engines  []string          `long:"engine" value-name:"IP:PORT" description:"address of an engine whose exported bytes are counted; may be repeated"`
	Callers  int               `long:"callers" default:"8" description:"number of callers per region, each with its own connections"`
	Rate     float64           `long:"rate" description:"arrival rate in programs per second; 0 computes it from the load"`
	Load     float64           `long:"load" default:"0.7" description:"arrival rate as a fraction of the capacity"`
	Duration time.Duration     `long:"duration" default:"20s" description:"duration of the arrivals"`
	Overload time.Duration     `long:"overload" description:"duration of an overload at twice the capacity, which starts after --duration and is followed by twice --duration at the base rate"`
	Limit    time.Duration     `long:"limit" default:"10s" description:"latency within which a program counts for goodput"`

	Verbose bool `long:"verbose" description:"log each retried request"`

	EngineReplicas  int     `long:"engine-replicas" default:"10" description:"number of engines"`
	Slots           int     `long:"slots" default:"16" description:"maximum batch size of an engine"`
	Prefill         int64   `long:"prefill" default:"8000" description:"prefill rate of a request in tokens per second"`
	Decode          float64 `long:"decode-ms" default:"20" description:"base duration of a decode step in milliseconds"`
	Growth          float64 `long:"decode-growth-ms" default:"0.5" description:"additional duration of a decode step in milliseconds for each request in the batch"`
	ServiceReplicas int     `long:"service-replicas" default:"10" description:"number of services"`
	ServiceSlots    int     `long:"service-slots" default:"8" description:"maximum number of concurrent operations of a service"`
	RunTime         float64 `long:"run-ms" default:"50" description:"duration of an operation in milliseconds"`
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func (o *options) run(ctx context.Context, log zerolog.Logger, out io.Writer) error {
	kind, ok := workload.KindByName(o.Workload)
	if !ok {
		return errors.Errorf("unknown workload %q", o.Workload)
	}
	if !o.Verbose {
		log = log.Level(zerolog.InfoLevel)
	}
	capacity := o.capacity(kind)
	baseRate := workload.Rate(o.Rate)
	if baseRate <= 0 {
		baseRate = capacity * workload.Rate(o.Load)
	}
	phases := []workload.Phase{{Duration: o.Duration, Rate: baseRate}}
	if o.Overload > 0 {
		phases = append(phases,
			workload.Phase{Duration: o.Overload, Rate: overloadFactor * capacity},
			workload.Phase{Duration: 2 * o.Duration, Rate: baseRate})
	}
	timers := timer.New()
	callers := o.callers(timers)
	programs := workload.New(kind, workload.WithSeed(o.Seed), workload.WithPhases(phases...),
		workload.WithRegions(slices.Sorted(maps.Keys(callers))...)).Generate()
	log.Info().Str("workload", o.Workload).Float64("capacity", float64(capacity)).
		Float64("rate", float64(baseRate)).Int("programs", len(programs)).Msg("load run started")

	m := meter.New(o.Engines)
	before, err := m.ExportedBytes(ctx)
	if err != nil {
		return err
	}
	start := timers.Now()
	outcomes := driver.New(callers, driver.WithTimers(timers), driver.WithLog(log)).Run(ctx, programs)
	elapsed := timers.Now().Sub(start)
	after, err := m.ExportedBytes(ctx)
	if err != nil {
		return err
	}
	run := reporter.Run{
		Workload: o.Workload, Policy: o.Policy, Seed: o.Seed, TransferredBytes: after - before, Elapsed: elapsed,
	}
	if o.Overload > 0 {
		return reporter.New(out).Overload(run, reporter.Overload{
			Limit: o.Limit, From: o.Duration, To: o.Duration + o.Overload,
			End: 3*o.Duration + o.Overload, Window: goodputWindow,
		}, outcomes)
	}
	return reporter.New(out).Run(run, outcomes)
}

// capacity returns the number of programs per second that the upstreams can serve.
// The sample has a fixed seed, so that runs with different seeds have the same
// rate.
func (o *options) capacity(kind workload.Kind) workload.Rate {
	sample := workload.New(kind, workload.WithSeed(0), workload.WithPhases(workload.Phase{Duration: sampleDuration, Rate: sampleRate})).Generate()
	return sizer.New(
		sizer.Engines{
			Replicas: o.EngineReplicas, Slots: o.Slots, PrefillRate: unit.Tokens(o.Prefill),
			DecodeStep: milliseconds(o.Decode + float64(o.Slots)*o.Growth),
		},
		sizer.Services{Replicas: o.ServiceReplicas, Slots: o.ServiceSlots, OperationTime: milliseconds(o.RunTime)},
	).Capacity(sample)
}

// callers returns the callers of each region. A caller tries the entry VMs of its
// own region first; successive callers start with different ones.
func (o *options) callers(timers *timer.Service) map[ident.Region][]driver.Caller {
	servers := map[ident.Region][]string{}
	for _, address := range slices.Sorted(maps.Keys(o.Servers)) {
		region := ident.Region(o.Servers[address])
		servers[region] = append(servers[region], address)
	}
	callers := map[ident.Region][]driver.Caller{}
	for region, local := range servers {
		var remote []string
		for _, other := range slices.Sorted(maps.Keys(servers)) {
			if other != region {
				remote = append(remote, servers[other]...)
			}
		}
		for i := range o.Callers {
			offset := i % len(local)
			order := slices.Concat(local[offset:], local[:offset], remote)
			callers[region] = append(callers[region], client.New(order, o.Token, timers))
		}
	}
	return callers
}
