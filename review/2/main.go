// Command 2 restarts the replicas of a service in place, one after the other, while
// remembered conversations go on.
package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/review/lab"
)

const (
	checkService = "assistent-llm"
	chatService  = "chat-llm"
	vms          = 3
	// chatReplicas serve conversations. One release restarts two of them, a share of
	// 0.4, one after the other.
	chatReplicas = 5
	perRelease   = 2
	releases     = 5
	// leave is how long a replica serves after the store has accepted its report, and
	// pause how long it is down.
	leave = 2700 * time.Millisecond
	pause = 500 * time.Millisecond
	// conversations send a turn every turnInterval on average.
	conversations = 180
	turnInterval  = 1500 * time.Millisecond
	// checksPerSecond is the number of one-off programs that begin each second.
	checksPerSecond = 20
	// aim is the time objective of a conversation.
	aim = 100 * time.Second
	// manyTries is the number of tries from which the rule counts a turn.
	manyTries = 5
	// settle is the time after the last restart that is judged.
	settle = 8 * time.Second
	// calm is how long a turn must begin after the start of the case to be judged.
	calm = 4 * time.Second
)

func main() { lab.Run(play) }

func play(l *lab.Lab) (bool, error) {
	if _, err := l.StartEngines(checkService, 3, 17, 6*time.Millisecond, lab.Zones...); err != nil {
		return false, err
	}
	chats, err := l.StartEngines(chatService, chatReplicas, 17, 6*time.Millisecond, lab.Zones[0])
	if err != nil {
		return false, err
	}
	check, chat := lab.ChatRoute("r-check", "/check/", checkService), lab.ChatRoute("r-chat", "/chat/", chatService)
	check.Retained, check.RetentionS, check.Resumable = false, 0, true
	engine := map[string]any{"slots": 64, "kvCapacityTokens": 264043, "chunkTokens": 2}
	services := []map[string]any{
		{"name": checkService, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tlsEnabled": false, "engine": engine},
		{"name": chatService, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tlsEnabled": false, "engine": engine},
	}
	if err := l.Configure(7, []lab.Route{check, chat}, services); err != nil {
		return false, err
	}
	if err := l.StartVMs(vms); err != nil {
		return false, err
	}
	if err := l.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	s := &session{lab: l, started: time.Now(), engines: chats}
	s.end = s.started.Add(calm + releases*perRelease*(leave+pause+300*time.Millisecond) + settle)
	var all sync.WaitGroup
	for range conversations {
		all.Go(s.converse)
	}
	all.Go(s.checkOften)
	time.Sleep(calm)
	for i := range releases * perRelease {
		if !l.Trouble {
			break
		}
		if err := chats[i%chatReplicas].Restart(leave, pause); err != nil {
			return false, err
		}
	}
	all.Wait()
	return s.judge()
}

// session is what callers did and got.
type session struct {
	lab          *lab.Lab
	engines      []*lab.Engine
	started, end time.Time

	mu sync.Mutex
	// turns has the turns that continue a turn which was answered whole, answered
	// counts those that were answered whole.
	answered int
	unserved []turn
	// first has, for each first turn, when it began and whether a replica ran it.
	first []firstTurn
}

// turn is a turn that no try brought to a replica.
type turn struct {
	program, previous string
	began             time.Time
	tries             int
}

type firstTurn struct {
	began  time.Time
	served bool
}

// converse sends the turns of one conversation.
func (s *session) converse() {
	time.Sleep(rand.N(turnInterval))
	program, sessionID := lab.NewID(), lab.NewID()
	previous := ""
	for time.Now().Before(s.end) {
		began := time.Now()
		got, tries := s.turn("/chat/2f", program, sessionID, previous)
		whole := got.Status == http.StatusOK && got.Whole
		s.mu.Lock()
		switch {
		case previous == "":
			s.first = append(s.first, firstTurn{began, whole})
		case whole:
			s.answered++
		case !slices.ContainsFunc(tries, s.reached):
			s.unserved = append(s.unserved, turn{program, previous, began, len(tries)})
		}
		s.mu.Unlock()
		if !whole {
			s.lab.Note("conversation %s fails: its turn after %q was tried %d times", program, previous, len(tries))
			return
		}
		previous = got.ID
		time.Sleep(turnInterval/2 + rand.N(turnInterval))
	}
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

// turn sends a turn as callers do: one retry within its time limit, and the whole again
// after a short pause, at most twice. It returns the ids of all attempts.
func (s *session) turn(path, program, sessionID, previous string) (lab.Result, []string) {
	var tries []string
	var got lab.Result
	for range 3 {
		limit := time.Now().Add(6 * time.Second)
		var failed []string
		for range 2 {
			left := time.Until(limit)
			var at string
			got, at = s.send(path, program, sessionID, previous, left, failed)
			tries = append(tries, got.ID)
			if got.Status == http.StatusOK && got.Whole || got.Status/100 == 4 {
				return got, tries
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
func (s *session) send(path, program, sessionID, previous string, limit time.Duration, failed []string) (lab.Result, string) {
	addresses := slices.DeleteFunc(s.lab.Resolve(lab.Zones[0].Name), func(a string) bool { return slices.Contains(failed, a) })
	if len(addresses) == 0 {
		return lab.Result{Err: errors.New("no address")}, ""
	}
	channel := lab.NewChannel(addresses[rand.IntN(len(addresses))])
	defer channel.Close()
	header := map[string]string{
		"X-Program-Id": program, "X-Session-Id": sessionID, "X-Program-Deadline-Ms": "100000", "X-Token-Budget": "100000",
		"X-Model": "m", "X-Token-Usage": "1460,136", "X-Prompt-Prefix": "5c1e07a2:800," + sessionID[:8] + ":660",
	}
	if previous != "" {
		header["X-Previous-Turn"] = previous
	}
	got := channel.Send(lab.Request{Method: http.MethodPost, Path: path, Body: "a turn of " + program + "\n", Header: header, TimeLimit: limit})
	s.lab.Note("%s turn %s of %s after %q at %s: status %d, whole %t, %s, %v", path, got.ID, program, previous,
		s.lab.NameOf(channel.Address), got.Status, got.Whole, got.Took.Round(time.Millisecond), got.Err)
	return got, channel.Address
}

// checkOften begins one-off programs of one turn.
func (s *session) checkOften() {
	var all sync.WaitGroup
	for time.Now().Before(s.end) {
		all.Go(func() {
			began := time.Now()
			got, _ := s.turn("/check/2f", lab.NewID(), lab.NewID(), "")
			s.mu.Lock()
			defer s.mu.Unlock()
			s.first = append(s.first, firstTurn{began, got.Status == http.StatusOK && got.Whole})
		})
		time.Sleep(time.Second / checksPerSecond)
	}
	all.Wait()
}

// judge looks for turns that reached no replica in five tries or more, although nine
// tenths of the first turns of that time did.
func (s *session) judge() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for _, t := range s.unserved {
		if t.tries < manyTries || t.began.Sub(s.started) > aim {
			continue
		}
		lost++
		if lost <= 20 {
			s.lab.Note("broken: conversation %s, which began its turn after %s %s after the start, reached no replica in %d tries",
				t.program, t.previous, t.began.Sub(s.started).Round(time.Millisecond), t.tries)
		}
	}
	served, first := 0, 0
	for _, f := range s.first {
		if f.began.After(s.end.Add(-settle)) {
			first++
			if f.served {
				served++
			}
		}
	}
	s.lab.Say("%d turns that continue another were answered, %d reached no replica in %d tries or more", s.answered, lost, manyTries)
	s.lab.Say("first turns of the last %s: %d of %d were served", settle, served, first)
	if s.answered == 0 || first == 0 {
		return false, errors.New("no turns were answered")
	}
	return lost > 0 && served*10 >= first*9, nil
}
