package sequencer

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/reserver"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// backoff is the delay that a refusal suggests when a short wait helps.
const backoff = 500 * time.Millisecond

// Sequencer is the controller of programs.
type Sequencer struct {
	count           int
	checkpointEvery int
	expiryInterval  time.Duration
	// checkpointInterval bounds the age of the checkpoint of a shard.
	checkpointInterval time.Duration
	checkpointAt       time.Time
	retention          time.Duration
	reserver           reserver.Reserver

	leaseUntil time.Time
	expireAt   time.Time
	// applied is the journal position up to which all records are applied.
	applied   ident.Sequence
	shards    map[ident.Shard]*shard
	waits     map[message.Token]wait
	lastToken message.Token
}

// shard is a shard that the node serves.
type shard struct {
	id       ident.Shard
	epoch    ident.Epoch
	row      cluster.ShardRow
	programs program.Set
	active   map[ident.ProgramID]*active
	// restingSince is when a root program was first seen to need nothing more.
	restingSince map[ident.ProgramID]time.Time
	// pending counts the appends that are not durable yet.
	pending int
	// sinceCheckpoint counts the records since the last checkpoint.
	sinceCheckpoint int
	checkpointing   bool
	// closing is true from the start of a handover; arrivals wait in parked.
	closing bool
	// closeUntil is when a handover that is not drained is put off.
	closeUntil time.Time
	// drained is true from the handover's checkpoint on. Records that come later
	// are refused, since the next owner would not see them.
	drained bool
	parked  []message.CallArrived
}

// active is the volatile state of a program with work under way.
type active struct {
	running *running
	// parked holds arrivals of the position after the running one.
	parked []message.CallArrived
	// reserved is kept at the root for the whole tree.
	reserved record.Allowance
	// attempts counts the attempts of calls that have no durable answer.
	attempts map[ident.CallID]ident.Attempt
	// unsettled is what stays reserved for calls with an unknown outcome.
	unsettled map[ident.CallID]record.Allowance
	ending    bool
}

// running is the call of a program that is under way.
type running struct {
	arrived message.CallArrived
	attempt ident.Attempt
	need    record.Allowance
	joined  []ident.Ticket
	// started is true when the call was let run.
	started bool
	// finishing is true when its answer waits to be durable.
	finishing bool
	// intended is true when an intent was handed to the journal.
	intended bool
	// durableIntent is true when the intent is durable.
	durableIntent bool
	// failed is set if the attempt failed before its intent was durable.
	failed *message.CallFailed
}

// Option changes how New builds a Sequencer.
type Option func(*Sequencer)

// WithShards sets the number of shards of the deployment.
func WithShards(count int) Option {
	return func(s *Sequencer) { s.count = count }
}

// WithCheckpointEvery sets the number of records of a shard after which its
// state is written as a checkpoint.
func WithCheckpointEvery(records int) Option {
	return func(s *Sequencer) { s.checkpointEvery = records }
}

// WithAhead sets the number of calls for which an allowance is taken ahead.
func WithAhead(calls int) Option {
	return func(s *Sequencer) { s.reserver.Ahead = calls }
}

// New returns a sequencer that serves no shard yet.
func New(options ...Option) *Sequencer {
	s := &Sequencer{
		count:              48,
		checkpointEvery:    512,
		expiryInterval:     time.Second,
		checkpointInterval: 30 * time.Second,
		retention:          defaultRetention,
		reserver:           reserver.Reserver{Ahead: 2},
		shards:             map[ident.Shard]*shard{},
		waits:              map[message.Token]wait{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Handle takes part in the control loop.
func (s *Sequencer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.OpenProgram:
		return s.openProgram(m)
	case message.OpenChild:
		return s.openChild(m)
	case message.EndProgram:
		return s.endProgram(m)
	case message.ShowProgram:
		return s.showProgram(m)
	case message.CallArrived:
		return s.arrive(now, m)
	case message.WaitAbandoned:
		return s.abandon(now, m)
	case message.CallWithdrawn:
		return s.withdraw(now, m)
	case message.IntentRequested:
		return s.intend(now, m)
	case message.CancelRequested:
		return s.cancel(m)
	case message.CallCompleted:
		return s.complete(m)
	case message.CallFailed:
		return s.fail(now, m)
	case message.CallRetried:
		return s.retry(now, m)
	default:
		return s.handleControl(now, m)
	}
}

func (s *Sequencer) handleControl(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.ResolveCall:
		return s.resolve(m)
	case message.LookedUp:
		return s.lookedUp(m)
	case message.Joined:
		s.applied = m.Node.Head
	case message.Durable:
		return s.durable(now, m)
	case message.LeaseChanged:
		s.leaseUntil = m.Until
	case message.ShardOpened:
		return s.openShard(m)
	case message.ShardClosing:
		return s.closeShard(now, m)
	case message.ShardClosed:
		return s.dropShard(m.Shard)
	case message.Fenced:
		return s.fenced()
	case message.ReleaseConfirmed:
		return s.released(m)
	case message.CacheRead:
		return s.compareCache(m)
	case message.Tick:
		return slices.Concat(s.expire(now), s.checkpointAll(now), s.reopen(now))
	}
	return nil
}

// Describe adds nothing: programs are read by message.ShowProgram.
func (s *Sequencer) Describe(*snapshot.Snapshot) {}

// find returns the shard that serves a program, its durable state and its
// volatile state; the state is nil if there is no such program for the team.
func (s *Sequencer) find(id ident.ProgramID, team ident.TeamID) (*shard, *program.State, *active) {
	served, ok := s.shards[id.Shard(s.count)]
	if !ok {
		return nil, nil, nil
	}
	state, ok := served.programs[id]
	if !ok || team != "" && state.Team != team {
		return served, nil, nil
	}
	return served, state, served.activity(id)
}

func (s *shard) activity(id ident.ProgramID) *active {
	a, ok := s.active[id]
	if !ok {
		a = &active{
			attempts:  map[ident.CallID]ident.Attempt{},
			unsettled: map[ident.CallID]record.Allowance{},
		}
		s.active[id] = a
	}
	return a
}

// idle reports whether nothing of the shard is under way.
func (s *shard) idle() bool {
	if s.pending > 0 {
		return false
	}
	for _, a := range s.active {
		if a.running != nil {
			return false
		}
	}
	return true
}

// record hands records of a shard to the journal; w is called back when they
// are durable.
func (s *Sequencer) record(on *shard, w wait, records ...record.Record) effect.Effect {
	s.lastToken++
	s.waits[s.lastToken] = w
	on.pending++
	entries := make([]message.Entry, len(records))
	for i, r := range records {
		entries[i] = message.Entry{Shard: on.id, Epoch: on.epoch, Record: r}
	}
	return effect.Send{Message: message.Append{Token: s.lastToken, Entries: entries}}
}

func answer(ticket ident.Ticket, o outcome.Outcome) effect.Effect {
	return effect.Answer{Ticket: ticket, Outcome: o}
}

func refuse(ticket ident.Ticket, err *failure.Error) effect.Effect {
	return answer(ticket, outcome.Refused{Err: err})
}

func notOwner() *failure.Error {
	err := failure.New(failure.NotOwner, "this VM does not serve the program's shard; repeat the request with the same call id")
	err.RetryAfter = backoff
	return err
}

func notFound(id ident.ProgramID) *failure.Error {
	return failure.New(failure.NotFound, "there is no program %s of this team; open it first or check the id", id)
}
