package sequencer_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func TestSequencer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequencer")
}

const (
	retention = 10 * time.Minute
	interval  = 30 * time.Second
)

// owner is a sequencer that serves the only shard. Appends are durable at once.
type owner struct {
	*sequencer.Sequencer
	now      time.Time
	effects  []effect.Effect
	programs program.Set
}

func serve(programs program.Set) *owner {
	o := &owner{now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	o.Sequencer = sequencer.New(sequencer.WithShards(1), sequencer.WithRetention(retention))
	o.give(message.LeaseChanged{Until: o.now.Add(24 * time.Hour)})
	o.give(message.ShardOpened{Epoch: 1, Programs: programs})
	return o
}

func (o *owner) give(m message.Message) {
	o.effects = o.Handle(o.now, m)
	var tokens []message.Token
	for _, e := range o.effects {
		send, ok := e.(effect.Send)
		if !ok {
			continue
		}
		if a, ok := send.Message.(message.Append); ok {
			tokens = append(tokens, a.Token)
			if a.Checkpoint != nil && a.Checkpoint.Programs != nil {
				o.programs = a.Checkpoint.Programs
			}
		}
	}
	if len(tokens) > 0 {
		o.Handle(o.now, message.Durable{Tokens: tokens})
	}
}

// pass lets time pass with a tick at each checkpoint.
func (o *owner) pass(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(interval)
		o.give(message.Tick{})
	}
}

// repeat sends the first call of a program again.
func (o *owner) repeat(id ident.ProgramID) outcome.Outcome {
	o.give(message.CallArrived{
		Ticket: 1, Program: id, Team: "team", First: true,
		Request: record.Request{Call: "call", Position: 1, Pool: "pool", Body: "book"},
	})
	return o.effects[0].(effect.Answer).Outcome
}

func ended(id ident.ProgramID, more ...record.Record) program.Set {
	set := program.Set{}
	budget := record.Budget{Calls: 9, Tokens: 900}
	set.Apply(record.Opened{Program: id, Team: "team", Budget: budget})
	set.Apply(record.Opened{Program: id.Child(1), Team: "team"})
	for _, r := range more {
		set.Apply(r)
	}
	set.Apply(record.Ended{Program: id, Reason: "done"})
	return set
}

var _ = ginkgo.Describe("an ended program", func() {
	done := record.Completed{
		Program: "p", Request: record.Request{Call: "call", Position: 1, Pool: "pool", Body: "book"},
		Attempt: 1, Upstream: "u", Answer: record.Answer{Body: "booked", Usage: record.Usage{Calls: 1}},
	}

	// Guards against memory and checkpoints that grow with every program that
	// ever ran, and against a false promise for a call that did run.
	ginkgo.It("is removed with its sub-agents after the retention, and its calls get no promise", func() {
		o := serve(ended("p", done))
		o.pass(retention)
		gomega.Expect(o.programs).To(gomega.HaveLen(2))
		o.pass(2 * interval)
		gomega.Expect(o.programs).To(gomega.BeEmpty())
		refused := o.repeat("p").(outcome.Refused)
		gomega.Expect(refused.Err.Kind).To(gomega.Equal(failure.NotFound))
		gomega.Expect(refused.Err.NotRun).To(gomega.BeFalse())
	})

	// Guards against the loss of what is still to be done for a program.
	ginkgo.It("is kept while an engine holds its memory or an outcome is unknown", func() {
		resident := done
		resident.Resident = true
		intended := record.Intended{Program: "p", Request: done.Request, Attempt: 1, Upstream: "u", Epoch: 1}
		for _, r := range []record.Record{resident, intended} {
			o := serve(ended("p", r))
			o.pass(3 * retention)
			gomega.Expect(o.programs).To(gomega.HaveLen(2))
		}
	})

	// Guards against removal as soon as a long wait for the release is over.
	ginkgo.It("is kept for the whole retention after its memory is released", func() {
		resident := done
		resident.Resident = true
		o := serve(ended("p", resident))
		o.pass(3 * retention)
		o.give(message.ReleaseConfirmed{Program: "p", Upstream: "u"})
		o.pass(retention)
		gomega.Expect(o.programs).To(gomega.HaveLen(2))
		o.pass(2 * interval)
		gomega.Expect(o.programs).To(gomega.BeEmpty())
	})

	// Guards against the removal of a tree whose root still runs.
	ginkgo.It("is kept while its root has not ended", func() {
		set := ended("q")
		set["q"].Ended = false
		o := serve(set)
		o.pass(3 * retention)
		gomega.Expect(o.programs).To(gomega.HaveLen(2))
	})

	// Guards against engine memory that is found after the program was removed.
	ginkgo.It("is still released if an engine is found to hold it", func() {
		o := serve(ended("p", done))
		o.pass(2 * retention)
		o.give(message.CacheRead{Upstream: "u", Complete: true, Residents: map[ident.ProgramID]unit.Tokens{"p": 7}})
		gomega.Expect(o.effects).To(gomega.ConsistOf(effect.Send{Message: message.ReleaseWanted{Program: "p", Upstream: "u", Epoch: 1}}))
	})
})
