// Package enroller has the controller that keeps this VM's row among the entry
// VMs, and the list of those that serve callers.
//
// A row has the store's time at which its VM wrote it. A VM serves if its row is
// not much older than the store's time of the read that lists it; an outage of
// the store therefore makes no VM look dead. In a large failure domain one VM
// reads the rows, and the others ask it how the list changed; each writes its
// own row.
package enroller

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/domainreader"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// table has one row for each entry VM.
	table rows.Table = "entry_vms"
	// DefaultInterval spaces the reads of the list, each of which is followed by
	// a write of the own row.
	DefaultInterval = 1500 * time.Millisecond
	// readerInterval spaces the reads of a VM that reads for others. With the
	// interval of their questions, a VM that leaves is known as early as if each
	// VM read the list.
	readerInterval = DefaultInterval - domainreader.AskInterval
	// lifetime is the number of intervals after which a row no longer stands for
	// a VM that runs.
	lifetime = 3
	// noticeMargin is twice the time limit of a call of the store, 0.6 s.
	noticeMargin = 1200 * time.Millisecond
	// forgetAfter is the age at which another VM removes a row.
	forgetAfter = 10 * time.Minute
)

// Enroller keeps the rows of entry VMs.
type Enroller struct {
	self     snapshot.Member
	interval time.Duration
	// leavingSince is when the VM was asked to stop.
	leavingSince time.Time
	// list is nil until the rows were read, and sentAt when it was last passed on.
	list    *snapshot.MemberList
	serving []snapshot.Member
	sentAt  time.Time
	pacer   pacer.Pacer
	readers domainreader.Domainreader

	// version is that of the own row as far as it is known, 0 without one.
	version rows.Version
	// written is the state in the row that was sent last, at writtenAt.
	written   state
	writtenAt time.Time
	// stored is the state in the row that the store has, nil without one.
	stored *state
}

// state is what a row says of its VM and changes while that runs.
type state struct{ ready, leaving bool }

// New returns the controller of a VM that reads the list at an interval, which is
// the same for all VMs.
func New(self snapshot.Member, interval time.Duration) *Enroller {
	return &Enroller{self: self, interval: interval, readers: domainreader.New(self, table)}
}

// NoticeTime is the time in which the other VMs read a row that was written.
func NoticeTime(interval time.Duration) time.Duration { return interval + noticeMargin }

// Handle follows the rows.
func (e *Enroller) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started:
		return e.read()
	case message.Tick:
		due, effects := e.pacer.Tick(now)
		if due {
			return e.ask(now)
		}
		return effects
	case message.RoutesChanged:
		return e.serve(now, e.self.RequestAddress != "")
	case message.ConfigurationRead:
		// A deployment with routes may never get a configuration.
		return e.serve(now, e.self.RequestAddress == "")
	case message.ShutdownRequested:
		e.self.Leaving, e.leavingSince = true, now
		return append(e.hasten(now), effect.Publish{})
	case message.RowsRead:
		if m.Range.Table == table {
			return e.took(now, m)
		}
	case message.MembersCopied:
		return e.copied(now, m)
	case message.RowsWritten:
		return e.wrote(m)
	}
	return nil
}

// serve notes that the VM knows what it needs to serve callers.
func (e *Enroller) serve(now time.Time, enough bool) []effect.Effect {
	if !enough || e.self.Ready {
		return nil
	}
	e.self.Ready = true
	return e.hasten(now)
}

// hasten gets the list, and then writes, without waiting for the interval. A
// read that is under way serves as well.
func (e *Enroller) hasten(now time.Time) []effect.Effect {
	if !e.pacer.IsSet() {
		return nil
	}
	return []effect.Effect{e.pacer.Set(now)}
}

func (e *Enroller) read() []effect.Effect {
	return []effect.Effect{effect.ReadRows{Range: rows.Range{Table: table}}}
}

// ask asks the VM that reads for the failure domain, or reads.
func (e *Enroller) ask(now time.Time) []effect.Effect {
	address, ok := e.readers.Other(now)
	if !ok || !e.readers.IsLarge() {
		return e.read()
	}
	return []effect.Effect{effect.AskMembers{Address: address, Known: e.list.Digest}}
}

// took takes the rows over and writes the own one.
func (e *Enroller) took(now time.Time, m message.RowsRead) []effect.Effect {
	interval := e.interval
	if _, other := e.readers.Other(now); !other && e.readers.IsLarge() {
		interval = min(interval, readerInterval)
	}
	effects := []effect.Effect{e.pacer.Set(now.Add(interval))}
	if m.Err != nil {
		return effects
	}
	var removal rows.Transaction
	e.version = 0
	present := []snapshot.Member{e.self}
	for _, row := range m.Page.Rows {
		if row.ID == rowID(e.self.VM) {
			e.version = row.Version
			continue
		}
		other, age, err := decode(row, m.Page.Clock)
		switch {
		case err != nil || age > forgetAfter:
			removal.Conditions = append(removal.Conditions, rows.Condition{ID: row.ID, Version: row.Version})
			removal.Removes = append(removal.Removes, row.ID)
		case age <= lifetime*e.interval:
			present = append(present, other)
		}
	}
	effects = append(effects, e.write(now, m.Page.Clock, removal)...)
	return append(effects, e.pass(now, snapshot.NewMemberList(present, m.Page.Clock, m.SentAt))...)
}

// copied takes over the list of another VM, and writes the own row when its time
// has come.
func (e *Enroller) copied(now time.Time, m message.MembersCopied) []effect.Effect {
	if m.Err != nil || m.Change.Age > domainreader.CopyAge {
		e.readers.Avoid(now)
		return e.read()
	}
	effects := []effect.Effect{e.pacer.Set(now.Add(domainreader.AskInterval))}
	if now.Sub(e.writtenAt) >= e.interval || e.written != e.state() {
		effects = append(effects, e.write(now, m.Change.Clock+rows.Clock(m.Change.Age), rows.Transaction{})...)
	}
	asOf := m.SentAt.Add(-m.Change.Age)
	if asOf.Before(e.list.AsOf) {
		// A VM that reads again may know less than this one.
		return effects
	}
	if m.Change.Digest == e.list.Digest && slices.Contains(e.list.Present, e.self) {
		return append(effects, e.pass(now, e.list.At(m.Change.Clock, asOf))...)
	}
	present := e.list.Present
	if m.Change.Digest != e.list.Digest {
		present = m.Change.Present
	}
	all := []snapshot.Member{e.self}
	for _, member := range present {
		if member.VM != e.self.VM {
			all = append(all, member)
		}
	}
	return append(effects, e.pass(now, snapshot.NewMemberList(all, m.Change.Clock, asOf))...)
}

// pass passes the list on to other controllers, one that did not change once in
// an interval.
func (e *Enroller) pass(now time.Time, list *snapshot.MemberList) []effect.Effect {
	changed := e.list == nil || e.list.Digest != list.Digest
	e.list = list
	if !changed && now.Sub(e.sentAt) < e.interval {
		return []effect.Effect{effect.Publish{}}
	}
	e.sentAt = now
	e.serving = list.Serving()
	e.readers.Update(e.serving)
	listed := message.MembersListed{Serving: e.serving, AsOf: list.AsOf}
	for _, member := range list.Present {
		listed.VMs = append(listed.VMs, member.VM)
	}
	return []effect.Effect{effect.Publish{}, effect.Send{Message: listed}}
}

func (e *Enroller) state() state { return state{ready: e.self.Ready, leaving: e.self.Leaving} }

// write writes the own row together with a removal of others.
func (e *Enroller) write(now time.Time, clock rows.Clock, t rows.Transaction) []effect.Effect {
	row, err := encode(e.self, clock)
	if err != nil {
		// A row of texts and numbers can always be encoded.
		return nil
	}
	e.written, e.writtenAt = e.state(), now
	t.Conditions = append(t.Conditions, rows.Condition{ID: row.ID, Version: e.version})
	t.Puts = append(t.Puts, row)
	return []effect.Effect{effect.WriteRows{Transaction: t}}
}

// wrote notes what became of a write of the own row. Without an answer the next
// write may meet a conflict, which has the version of the row.
func (e *Enroller) wrote(m message.RowsWritten) []effect.Effect {
	own, ok := ownRow(m.Transaction, e.self.VM)
	if !ok || m.Err != nil {
		return nil
	}
	switch o := m.Outcome.(type) {
	case rows.Committed:
		e.version = o.Version
	case rows.Conflict:
		row, _ := rows.Find(o.Rows, own.ID)
		e.version, e.writtenAt = row.Version, time.Time{}
		return nil
	}
	written, _, err := decode(rows.Row{ID: own.ID, Value: own.Value}, 0)
	stored := state{ready: written.Ready, leaving: written.Leaving}
	if err != nil || e.stored != nil && e.stored.leaving == stored.leaving {
		return nil
	}
	e.stored = &stored
	return []effect.Effect{effect.Publish{}}
}

// IsFirst reports whether a VM is the first of those that serve callers.
func IsFirst(members []snapshot.Member, vm ident.VMID) bool {
	return len(members) > 0 && members[0].VM == vm
}

// Describe adds the members to a snapshot. Without a list there is this VM
// alone.
func (e *Enroller) Describe(view *snapshot.Snapshot) {
	view.Entry.Enrolled = e.stored != nil
	view.Entry.LeavingAnnounced = e.stored != nil && e.stored.leaving
	view.Entry.Leaving, view.Entry.LeavingSince = e.self.Leaving, e.leavingSince
	view.Entry.Members = e.serving
	if len(e.serving) == 0 && e.self.Serves() {
		view.Entry.Members = []snapshot.Member{e.self}
	}
	if e.list != nil {
		view.Entry.MemberList, view.Entry.MembersAsOf, view.Entry.Present = e.list, e.list.AsOf, e.list.Present
	}
}
