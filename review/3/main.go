// Command 3 crashes the replicas of one zone while remembered conversations go on.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/review/lab"
)

const (
	service = "assistent-llm"
	vms     = 6
	// replicas are spread over three zones. Of those of the first zone, crashes crash: a
	// share of 0.139 of all.
	replicas = 36
	crashes  = 5
	events   = 17
	gap      = 8 * time.Millisecond
	// first is the time in which a replica reads a prompt of 7,690 tokens, the longest of
	// the kind of request in the site file.
	first = 251 * time.Millisecond
	// programs begin each second, each with turns turns.
	perSecond = 30
	turns     = 6
	pause     = 250 * time.Millisecond
	// commonInput is what the users of most conversations answer to a question.
	commonInput = "yes\n"
	commonShare = 0.8
	// farShare is the share of the callers that are not in the first zone.
	farShare = 0.2
	// down is how long the crashed replicas are down.
	down = 4 * time.Second
	// calm is the time without a disturbance before a turn that is judged: stableMs and
	// some time more.
	calm = 5 * time.Second
	// judged is the length of the time in which judged turns begin.
	judged = 8 * time.Second
	// manyTries is the number of tries from which the rule counts a turn.
	manyTries = 5
)

func main() { lab.Run(play) }

func play(l *lab.Lab) (bool, error) {
	s := &session{lab: l}
	if err := s.startReplicas(replicas, lab.Zones...); err != nil {
		return false, err
	}
	services := []map[string]any{{
		"name": service, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tlsEnabled": false,
		"engine": map[string]any{"slots": 64, "kvCapacityTokens": 264043, "chunkTokens": 2},
	}}
	if err := l.Configure(7, []lab.Route{lab.ChatRoute("r-chat", "/chat/", service)}, services); err != nil {
		return false, err
	}
	if err := l.StartVMs(vms); err != nil {
		return false, err
	}
	if err := l.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	started := time.Now()
	crash := started.Add(5 * time.Second)
	s.from = crash.Add(down + calm)
	s.to = s.from.Add(judged)
	var all sync.WaitGroup
	all.Go(func() {
		var programs sync.WaitGroup
		for i := 0; time.Now().Before(s.to); i++ {
			zone := lab.Zones[0]
			if rand.Float64() < farShare {
				zone = lab.Zones[1+i%2]
			}
			programs.Go(func() { s.converse(zone.Name) })
			time.Sleep(time.Second / perSecond)
		}
		programs.Wait()
	})
	time.Sleep(time.Until(crash))
	if l.Trouble {
		s.mu.Lock()
		engines := slices.Clone(s.engines)
		s.mu.Unlock()
		crashed := 0
		for i, e := range engines {
			if i%len(lab.Zones) == 0 && crashed < crashes {
				go e.Crash()
				crashed++
			}
		}
		time.Sleep(down)
		if err := s.startReplicas(crashed, lab.Zones[0]); err != nil {
			return false, err
		}
		l.Note("%d new replicas have started", crashed)
	}
	all.Wait()
	return s.judge()
}

// session is what callers did and got.
type session struct {
	lab *lab.Lab
	// from and to bound the time in which judged turns begin.
	from, to time.Time

	mu      sync.Mutex
	engines []*lab.Engine
	// answered counts the judged turns that were answered, unserved has those that no
	// try brought to a replica.
	answered int
	unserved []string
	// firstTurns counts the judged first turns, firstServed those that were answered.
	firstTurns, firstServed int
}

func (s *session) startReplicas(count int, zones ...lab.Zone) error {
	engines, err := s.lab.StartEngines(service, count, events, gap, zones...)
	if err != nil {
		return err
	}
	for _, e := range engines {
		e.First = first
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = append(s.engines, engines...)
	return nil
}

// reached reports whether a replica ran an attempt.
func (s *session) reached(id string) bool {
	for _, e := range s.engines {
		if _, ran := e.Body(id); ran {
			return true
		}
	}
	return false
}

// converse sends the turns of one conversation.
func (s *session) converse(zone string) {
	program, sessionID := lab.NewID(), lab.NewID()
	previous := ""
	for n := range turns {
		input := fmt.Sprintf("question %d of %s\n", n, program)
		if n > 0 && rand.Float64() < commonShare {
			input = commonInput
		}
		began := time.Now()
		got, tries := s.turn(zone, program, sessionID, previous, input)
		whole := got.Status == http.StatusOK && got.Whole
		s.note(previous, began, whole, tries, input)
		if !whole {
			return
		}
		previous = got.ID
		time.Sleep(pause/2 + rand.N(pause))
	}
}

// note counts a turn if it is judged.
func (s *session) note(previous string, began time.Time, whole bool, tries []string, input string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if began.Before(s.from) || began.After(s.to) {
		return
	}
	switch {
	case previous == "":
		s.firstTurns++
		if whole {
			s.firstServed++
		}
	case whole:
		s.answered++
	case len(tries) >= manyTries && !slices.ContainsFunc(tries, s.reached):
		s.unserved = append(s.unserved, previous)
		s.lab.Note("broken: the turn after %s with input %q reached no replica in %d tries", previous, input, len(tries))
	}
}

// turn sends a turn as callers do: one retry within its time limit, and the whole again
// after a short pause, at most twice. It returns the ids of all attempts.
func (s *session) turn(zone, program, sessionID, previous, input string) (lab.Result, []string) {
	var tries []string
	var got lab.Result
	for range 3 {
		limit := time.Now().Add(6 * time.Second)
		var failed []string
		for range 2 {
			var at string
			got, at = s.send(zone, program, sessionID, previous, input, time.Until(limit), failed)
			tries = append(tries, got.ID)
			if got.Status == http.StatusOK && got.Whole || got.Status/100 == 4 {
				return got, tries
			}
			// Callers send a stream again only after a promise that it has not run.
			if got.Status != http.StatusServiceUnavailable {
				break
			}
			failed = append(failed, at)
			time.Sleep(min(got.RetryAfter, time.Until(limit)/3))
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
	return got, tries
}

// send sends one attempt on a new channel to one of the addresses that the directory
// names, excluding those that have failed.
func (s *session) send(zone, program, sessionID, previous, input string, limit time.Duration, failed []string) (lab.Result, string) {
	addresses := slices.DeleteFunc(s.lab.Resolve(zone), func(a string) bool { return slices.Contains(failed, a) })
	if len(addresses) == 0 {
		return lab.Result{Err: errors.New("no address")}, ""
	}
	channel := lab.NewChannel(addresses[rand.IntN(len(addresses))])
	defer channel.Close()
	header := map[string]string{
		"X-Program-Id": program, "X-Session-Id": sessionID, "X-Program-Deadline-Ms": "60000", "X-Token-Budget": "1088",
		"X-Model": "m", "X-Token-Usage": "7690,136", "X-Prompt-Prefix": "5c1e07a2:5120," + sessionID[:8] + ":2570",
	}
	if previous != "" {
		header["X-Previous-Turn"] = previous
	}
	got := channel.Send(lab.Request{Method: http.MethodPost, Path: "/chat/2f", Body: input, Header: header, TimeLimit: limit})
	s.lab.Note("turn %s of %s after %q with input %q at %s: status %d, whole %t, %s, %v", got.ID, program, previous, input,
		s.lab.NameOf(channel.Address), got.Status, got.Whole, got.Took.Round(time.Millisecond), got.Err)
	if got.Status != http.StatusOK {
		s.lab.Note("answer to %s: %.160s", got.ID, got.Body)
	}
	return got, channel.Address
}

// judge looks for turns that reached no replica in five tries or more, although nine
// tenths of the first turns of that time did.
func (s *session) judge() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lab.Say("%d judged turns that continue another were answered, %d reached no replica in %d tries or more",
		s.answered, len(s.unserved), manyTries)
	s.lab.Say("judged first turns: %d of %d were served", s.firstServed, s.firstTurns)
	if s.firstTurns == 0 || s.firstServed == 0 {
		return false, errors.New("no turns were answered")
	}
	return len(s.unserved) > 0 && s.firstServed*10 >= s.firstTurns*9, nil
}
