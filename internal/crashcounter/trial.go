package crashcounter

import (
	"fmt"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// trialDelays has the time from the last event of a quarantined request to each of its
// trials. There are few, since each may crash another upstream.
var trialDelays = []time.Duration{20 * time.Second, time.Minute}

// startTrial decides whether a quarantined request may be passed on once. Of the VMs that
// get the request, the one that writes the row of the trial first may do so.
func (c *Crashcounter) startTrial(now time.Time, m message.TrialRequested) []effect.Effect {
	s := c.suspect(m.Fingerprint)
	if !s.Quarantined {
		return decideTrial(m.Ticket, true)
	}
	trials := 0
	for _, e := range c.entries[m.Fingerprint] {
		if _, ok := e.event.(trial); ok {
			trials++
		}
	}
	key := rows.Key(fmt.Sprintf("%s/trial-%d", m.Fingerprint, trials+1))
	if _, pending := c.pendingTrials[key]; pending || s.TrialAt.IsZero() || now.Before(s.TrialAt) {
		return decideTrial(m.Ticket, false)
	}
	put, err := encode(key, trial{})
	if err != nil {
		c.reject(err)
		return decideTrial(m.Ticket, false)
	}
	c.pendingTrials[key] = m.Ticket
	return []effect.Effect{effect.WriteRows{Transaction: rows.Transaction{Conditions: []rows.Condition{{ID: rowID(key)}}, Puts: []rows.Put{put}}}}
}

// handleTrialWrite answers the request that waits for the row of its trial.
func (c *Crashcounter) handleTrialWrite(now time.Time, key rows.Key, m message.RowsWritten) []effect.Effect {
	ticket := c.pendingTrials[key]
	delete(c.pendingTrials, key)
	_, committed := m.Outcome.(rows.Committed)
	if m.Err != nil || !committed {
		return decideTrial(ticket, false)
	}
	c.add(fingerprintOf(key), key, entry{event: trial{}, seenAt: now, stored: true})
	return append(decideTrial(ticket, true), effect.Publish{})
}

func decideTrial(ticket ident.Ticket, allowed bool) []effect.Effect {
	return []effect.Effect{effect.Answer{Ticket: ticket, Outcome: outcome.TrialDecided{Allowed: allowed}}}
}
