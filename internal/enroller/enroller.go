// Package enroller has the controller that maintains this VM's row in the table
// of entry VMs, and the list of the members that serve callers.
//
// Each row has the store's clock reading at which its VM wrote it. A VM is a
// member if its row is recent compared to the store's clock at the time of the
// read. An outage of the store therefore does not make VMs appear dead. In a large
// failure domain one VM reads the table, and the others ask it for changes of the
// list. Each VM writes its own row.
package enroller

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/readerselector"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// table has one row for each entry VM.
	table rows.Table = "entry_vms"
	// DefaultInterval is the interval between reads of the list, each of which is
	// followed by a write of this VM's row.
	DefaultInterval = 1500 * time.Millisecond
	// readerInterval is the interval between reads of a VM that reads for others.
	// Together with readerselector.PollInterval it equals DefaultInterval, so that
	// other VMs learn that a VM leaves as early as if each of them read the table.
	readerInterval = DefaultInterval - readerselector.PollInterval
	// rowLifetimeIntervals is the age, in intervals, after which the VM of a row is
	// considered dead.
	rowLifetimeIntervals = 3
	// propagationMargin is twice the time limit of a store call, 0.6 s.
	propagationMargin = 1200 * time.Millisecond
	// recentRetention is the age up to which the VM of a row counts as recent. A VM that is
	// stopped and started again is away for some seconds.
	recentRetention = time.Minute
	// restartRetention is the age of its row up to which a VM that starts counts as
	// restarted. The margin covers reads by others that are under way.
	restartRetention = recentRetention - 10*time.Second
	// removeAfter is the age after which other VMs remove a row.
	removeAfter = 10 * time.Minute
	// maxRemovals is the number of rows that are removed with one write, of two entries
	// each. The store accepts 100, and refuses the VM's own row with too many others.
	maxRemovals = 40
)

// Enroller maintains this VM's row and the list of members.
type Enroller struct {
	self     snapshot.Member
	interval time.Duration
	// leavingSince is when the VM was asked to stop.
	leavingSince time.Time
	// list is nil until the first read. publishedAt is the time at which it was last
	// sent to other controllers.
	list           *snapshot.MemberList
	serving        []snapshot.Member
	publishedAt    time.Time
	pacer          pacer.Pacer
	readerSelector readerselector.Readerselector

	// version is the last known version of this VM's row, 0 if there is none.
	version rows.Version
	// written is the state in the last row that was sent, at writtenAt.
	written   rowState
	writtenAt time.Time
	// restarted is true if this VM had a recent row when it first read the table.
	restarted bool
	// stored is the state in the row that the store confirmed, nil if there is none. The
	// last confirmed row was sent at storedAt.
	stored   *rowState
	storedAt time.Time
}

// rowState is the part of a row that changes while its VM runs.
type rowState struct{ ready, leaving bool }

// New returns the controller of a VM. The interval between reads has to be the
// same on all VMs.
func New(self snapshot.Member, interval time.Duration) *Enroller {
	return &Enroller{self: self, interval: interval, readerSelector: readerselector.New(self, table)}
}

// PropagationDelay returns the time within which other VMs read a row after its
// write.
func PropagationDelay(interval time.Duration) time.Duration { return interval + propagationMargin }

// Handle processes a message and returns the resulting effects.
func (e *Enroller) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started:
		return e.read()
	case message.Tick:
		due, effects := e.pacer.Tick(now)
		if due {
			return e.requestList(now)
		}
		return effects
	case message.RoutesChanged:
		return e.markReady(now, e.self.RequestAddress != "")
	case message.ConfigurationRead:
		// A deployment with routes may never get a configuration.
		return e.markReady(now, e.self.RequestAddress == "")
	case message.ShutdownRequested:
		e.self.Leaving, e.leavingSince = true, now
		return append(e.refreshNow(now), effect.Publish{})
	case message.RowsRead:
		if m.Range.Table == table {
			return e.handleRows(now, m)
		}
	case message.MembersFetched:
		return e.handleCopy(now, m)
	case message.RowsWritten:
		return e.handleWrite(m)
	}
	return nil
}

// markReady announces that the VM can serve callers, if canServe is true. A VM
// with a request address needs routes to serve, any other VM a configuration.
func (e *Enroller) markReady(now time.Time, canServe bool) []effect.Effect {
	if !canServe || e.self.Ready {
		return nil
	}
	e.self.Ready = true
	return e.refreshNow(now)
}

// refreshNow refreshes the list without waiting for the interval, which also
// writes this VM's row. A pending read is sufficient.
func (e *Enroller) refreshNow(now time.Time) []effect.Effect {
	if !e.pacer.IsSet() {
		return nil
	}
	return []effect.Effect{e.pacer.Set(now)}
}

func (e *Enroller) read() []effect.Effect {
	return []effect.Effect{effect.ReadRows{Range: rows.Range{Table: table}}}
}

// requestList asks the reader of the failure domain for the list, or reads the
// table.
func (e *Enroller) requestList(now time.Time) []effect.Effect {
	address, ok := e.readerSelector.RemoteReader(now)
	if !ok || !e.readerSelector.IsLarge() {
		return e.read()
	}
	return []effect.Effect{effect.FetchMembers{Address: address, Known: e.list.Digest}}
}

// handleRows updates the list from the table, writes this VM's row and removes
// expired ones.
func (e *Enroller) handleRows(now time.Time, m message.RowsRead) []effect.Effect {
	interval := e.interval
	if _, remote := e.readerSelector.RemoteReader(now); !remote && e.readerSelector.IsLarge() {
		interval = min(interval, readerInterval)
	}
	effects := []effect.Effect{e.pacer.Set(now.Add(interval))}
	if m.Err != nil {
		return effects
	}
	var removals rows.Transaction
	e.version = 0
	present, recent := []snapshot.Member{e.self}, []snapshot.Member{e.self}
	for _, row := range m.Page.Rows {
		other, age, err := decode(row, m.Page.Clock)
		if row.ID == rowID(e.self.VM) {
			e.version = row.Version
			e.restarted = e.restarted || e.list == nil && err == nil && age <= restartRetention
			continue
		}
		if err == nil && age <= recentRetention {
			recent = append(recent, other)
		}
		switch {
		case err != nil || age > removeAfter:
			if len(removals.Removes) == maxRemovals {
				continue
			}
			removals.Conditions = append(removals.Conditions, rows.Condition{ID: row.ID, Version: row.Version})
			removals.Removes = append(removals.Removes, row.ID)
		case age <= rowLifetimeIntervals*e.interval:
			present = append(present, other)
		}
	}
	effects = append(effects, e.write(now, m.Page.Clock, removals)...)
	return append(effects, e.publish(now, snapshot.NewMemberList(present, m.Page.Clock, m.SentAt).WithRecent(recent))...)
}

// handleCopy updates the list from another VM's list, and writes this VM's row if
// it is due or has changed.
func (e *Enroller) handleCopy(now time.Time, m message.MembersFetched) []effect.Effect {
	if m.Err != nil || m.Change.Age > readerselector.MaxCopyAge {
		e.readerSelector.Suspend(now)
		return e.read()
	}
	effects := []effect.Effect{e.pacer.Set(now.Add(readerselector.PollInterval))}
	if now.Sub(e.writtenAt) >= e.interval || e.written != e.state() {
		effects = append(effects, e.write(now, m.Change.Clock+rows.Clock(m.Change.Age), rows.Transaction{})...)
	}
	asOf := m.SentAt.Add(-m.Change.Age)
	if asOf.Before(e.list.AsOf) {
		// The list of a VM that has just resumed reading may be older than this one.
		return effects
	}
	if m.Change.Digest == e.list.Digest && slices.Contains(e.list.Present, e.self) {
		return append(effects, e.publish(now, e.list.At(m.Change.Clock, asOf))...)
	}
	present, recent := e.list.Present, e.list.Recent
	if m.Change.Digest != e.list.Digest {
		present, recent = m.Change.Present, m.Change.Recent
	}
	list := snapshot.NewMemberList(e.withSelf(present), m.Change.Clock, asOf).WithRecent(e.withSelf(recent))
	return append(effects, e.publish(now, list)...)
}

// withSelf returns the members of a list with the current state of this VM.
func (e *Enroller) withSelf(members []snapshot.Member) []snapshot.Member {
	all := []snapshot.Member{e.self}
	for _, member := range members {
		if member.VM != e.self.VM {
			all = append(all, member)
		}
	}
	return all
}

// publish sends the list to other controllers. An unchanged list is sent once per
// interval.
func (e *Enroller) publish(now time.Time, list *snapshot.MemberList) []effect.Effect {
	changed := e.list == nil || e.list.Digest != list.Digest
	e.list = list
	if !changed && now.Sub(e.publishedAt) < e.interval {
		return []effect.Effect{effect.Publish{}}
	}
	e.publishedAt = now
	e.serving = list.Serving()
	e.readerSelector.Update(e.serving)
	listed := message.MembersListed{Serving: e.serving, AsOf: list.AsOf}
	for _, member := range list.Present {
		listed.VMs = append(listed.VMs, member.VM)
	}
	return []effect.Effect{effect.Publish{}, effect.Send{Message: listed}}
}

func (e *Enroller) state() rowState { return rowState{ready: e.self.Ready, leaving: e.self.Leaving} }

// write writes this VM's row in the same transaction as the removals in t.
func (e *Enroller) write(now time.Time, clock rows.Clock, t rows.Transaction) []effect.Effect {
	row, err := encode(e.self, clock)
	if err != nil {
		// Unreachable: strings, numbers and booleans can always be encoded.
		return nil
	}
	e.written, e.writtenAt = e.state(), now
	t.Conditions = append(t.Conditions, rows.Condition{ID: row.ID, Version: e.version})
	t.Puts = append(t.Puts, row)
	return []effect.Effect{effect.WriteRows{Transaction: t}}
}

// handleWrite processes the result of a write of this VM's row. After a lost
// response the next write may conflict, and the conflict has the row's version.
func (e *Enroller) handleWrite(m message.RowsWritten) []effect.Effect {
	own, ok := ownRow(m.Transaction, e.self.VM)
	if !ok || m.Err != nil {
		return nil
	}
	switch o := m.Outcome.(type) {
	case rows.Committed:
		e.version, e.storedAt = o.Version, e.writtenAt
	case rows.Conflict:
		row, _ := rows.Find(o.Rows, own.ID)
		e.version, e.writtenAt = row.Version, time.Time{}
		return nil
	}
	written, _, err := decode(rows.Row{ID: own.ID, Value: own.Value}, 0)
	stored := rowState{ready: written.Ready, leaving: written.Leaving}
	if err != nil || e.stored != nil && e.stored.leaving == stored.leaving {
		return nil
	}
	e.stored = &stored
	return []effect.Effect{effect.Publish{}}
}

// IsLeader reports whether a VM is the first of the members that serve callers.
func IsLeader(members []snapshot.Member, vm ident.VMID) bool {
	return len(members) > 0 && members[0].VM == vm
}

// Describe adds the members to a snapshot. Before the first read, this VM is the
// only member.
func (e *Enroller) Describe(view *snapshot.Snapshot) {
	view.Entry.Enrolled, view.Entry.RowWrittenAt = e.stored != nil, e.storedAt
	view.Entry.LeavingAnnounced = e.stored != nil && e.stored.leaving
	view.Entry.Leaving, view.Entry.LeavingSince = e.self.Leaving, e.leavingSince
	view.Entry.Members = e.serving
	if len(e.serving) == 0 && e.self.Serves() {
		view.Entry.Members = []snapshot.Member{e.self}
	}
	if e.list != nil {
		view.Entry.MemberList, view.Entry.MembersAsOf, view.Entry.Present = e.list, e.list.AsOf, e.list.Present
		view.Entry.Recent, view.Entry.Restarted = e.list.Recent, e.restarted
	}
}
