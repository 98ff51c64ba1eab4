// Package enroller has the controller that keeps this VM's row among the entry
// VMs, and the list of those that serve callers.
//
// A row has the store's time at which its VM wrote it. A VM serves if its row is
// not much older than the store's time of the read that lists it; an outage of
// the store therefore makes no VM look dead.
package enroller

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
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
	// lifetime is the number of intervals after which a row no longer stands for
	// a VM that runs.
	lifetime = 3
	// noticeMargin is twice the time limit of a call of the store, 0.6 s.
	noticeMargin = 1200 * time.Millisecond
	// forgetAfter is the age at which another VM removes a row.
	forgetAfter = 10 * time.Minute
)

// memberRow is the row of an entry VM.
type memberRow struct {
	Address  string       `json:"address"`
	Requests string       `json:"requests"`
	Peer     string       `json:"peer"`
	Domain   ident.Domain `json:"domain"`
	Region   ident.Region `json:"region"`
	// Process is the id of the process that wrote the row.
	Process ident.ProcessID `json:"process"`
	Leaving bool            `json:"leaving"`
	Ready   bool            `json:"ready"`
	// WrittenAt is the store's time that the VM knew when it wrote.
	WrittenAt rows.Clock `json:"written_at"`
}

// Enroller keeps the rows of entry VMs.
type Enroller struct {
	self     snapshot.Member
	interval time.Duration

	serving bool
	leaving bool
	// leavingSince is when the VM was asked to stop.
	leavingSince time.Time
	members      []snapshot.Member
	present      []snapshot.Member
	// enrolled and announced say what is known of the own row.
	enrolled  bool
	announced bool
	asOf      time.Time
	reader    pacer.Reader
}

// New returns the controller of a VM that reads the list at an interval, which is
// the same for all VMs.
func New(self snapshot.Member, interval time.Duration) *Enroller {
	return &Enroller{reader: pacer.NewReader(table), self: self, interval: interval}
}

// NoticeTime is the time in which the other VMs read a row that was written.
func NoticeTime(interval time.Duration) time.Duration { return interval + noticeMargin }

// Handle follows the rows.
func (e *Enroller) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started, message.Tick:
		return e.reader.Handle(now, m)
	case message.RoutesChanged:
		return e.serve(now, e.self.RequestAddress != "")
	case message.ConfigurationRead:
		// A deployment with routes may never get a configuration.
		return e.serve(now, e.self.RequestAddress == "")
	case message.ShutdownRequested:
		e.leaving, e.leavingSince = true, now
		return append(e.hasten(now), effect.Publish{})
	case message.RowsRead:
		if e.reader.Answers(m) {
			return e.took(now, m)
		}
	case message.RowsWritten:
		return e.wrote(m)
	}
	return nil
}

// serve notes that the VM knows what it needs to serve callers.
func (e *Enroller) serve(now time.Time, enough bool) []effect.Effect {
	if !enough || e.serving {
		return nil
	}
	e.serving = true
	return e.hasten(now)
}

// hasten reads, and then writes, without waiting for the interval. A read that
// is under way serves as well.
func (e *Enroller) hasten(now time.Time) []effect.Effect {
	if !e.reader.IsSet() {
		return nil
	}
	return []effect.Effect{e.reader.Set(now)}
}

func (e *Enroller) took(now time.Time, m message.RowsRead) []effect.Effect {
	effects := []effect.Effect{e.reader.Set(now.Add(e.interval))}
	if m.Err != nil {
		return effects
	}
	e.asOf = m.SentAt
	transaction := rows.Transaction{}
	condition := rows.Condition{ID: rowID(e.self.VM)}
	e.members, e.present = nil, nil
	for _, row := range m.Page.Rows {
		if row.ID == condition.ID {
			condition.Version = row.Version
			continue
		}
		var other memberRow
		if err := json.Unmarshal(row.Value, &other); err != nil || m.Page.Clock-other.WrittenAt > rows.Clock(forgetAfter) {
			transaction.Conditions = append(transaction.Conditions, rows.Condition{ID: row.ID, Version: row.Version})
			transaction.Removes = append(transaction.Removes, row.ID)
			continue
		}
		if m.Page.Clock-other.WrittenAt > rows.Clock(lifetime*e.interval) {
			continue
		}
		member := snapshot.Member{
			VM: ident.VMID(row.Key), Process: other.Process, Address: other.Address, RequestAddress: other.Requests, PeerAddress: other.Peer,
			Domain: other.Domain, Region: other.Region, Leaving: other.Leaving,
		}
		e.present = append(e.present, member)
		if other.Ready && !other.Leaving {
			e.members = append(e.members, member)
		}
	}
	self := e.self
	self.Leaving = e.leaving
	e.present = append(e.present, self)
	if e.serving && !e.leaving {
		e.members = append(e.members, self)
	}
	for _, list := range [][]snapshot.Member{e.members, e.present} {
		slices.SortFunc(list, func(a, b snapshot.Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	}
	value, err := json.Marshal(memberRow{
		Address: e.self.Address, Requests: e.self.RequestAddress, Peer: e.self.PeerAddress, Domain: e.self.Domain, Region: e.self.Region, Process: e.self.Process,
		Leaving: e.leaving, Ready: e.serving, WrittenAt: m.Page.Clock,
	})
	if err == nil {
		transaction.Conditions = append(transaction.Conditions, condition)
		transaction.Puts = append(transaction.Puts, rows.Put{ID: condition.ID, Value: value})
		effects = append(effects, effect.WriteRows{Transaction: transaction})
	}
	listed := message.MembersListed{Serving: e.members, AsOf: m.SentAt}
	for _, member := range e.present {
		listed.VMs = append(listed.VMs, member.VM)
	}
	return append(effects, effect.Publish{}, effect.Send{Message: listed})
}

// wrote notes what the own row says once it was written.
func (e *Enroller) wrote(m message.RowsWritten) []effect.Effect {
	if _, ok := m.Outcome.(rows.Committed); !ok || m.Err != nil {
		return nil
	}
	for _, put := range m.Transaction.Puts {
		var own memberRow
		if put.ID != rowID(e.self.VM) || json.Unmarshal(put.Value, &own) != nil {
			continue
		}
		if e.enrolled && e.announced == own.Leaving {
			return nil
		}
		e.enrolled, e.announced = true, own.Leaving
		return []effect.Effect{effect.Publish{}}
	}
	return nil
}

// IsFirst reports whether a VM is the first of those that serve callers.
func IsFirst(members []snapshot.Member, vm ident.VMID) bool {
	return len(members) > 0 && members[0].VM == vm
}

func rowID(vm ident.VMID) rows.ID { return rows.ID{Table: table, Key: rows.Key(vm)} }

// Describe adds the members to a snapshot. Without a list there is this VM
// alone.
func (e *Enroller) Describe(view *snapshot.Snapshot) {
	view.Entry.Members, view.Entry.Present, view.Entry.MembersAsOf = e.members, e.present, e.asOf
	view.Entry.Enrolled, view.Entry.LeavingAnnounced = e.enrolled, e.announced
	view.Entry.Leaving, view.Entry.LeavingSince = e.leaving, e.leavingSince
	if e.members == nil && e.serving && !e.leaving {
		view.Entry.Members = []snapshot.Member{e.self}
	}
}
