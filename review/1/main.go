// Command 1 has one replica that names a very large request limit in its answers.
package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/review/lab"
)

const (
	service = "assistent-llm"
	vms     = 3
	// One of the replicas names limit, a share of 0.14.
	replicas = 7
	limit    = "18446744073709551615"
	events   = 17
	gap      = 8 * time.Millisecond
	first    = 100 * time.Millisecond
	callers  = 120
	pause    = 100 * time.Millisecond
	// calm is the time before the replica names its limit, named the time for which it
	// does.
	calm  = 6 * time.Second
	named = 5 * time.Second
	// restartDelay is the time after which the platform starts a process again that has
	// ended.
	restartDelay = 300 * time.Millisecond
	// allowed is the number of times that the rule allows.
	allowed = 3
)

func main() { lab.Run(play) }

func play(l *lab.Lab) (bool, error) {
	engines, err := l.StartEngines(service, replicas, events, gap, lab.Zones...)
	if err != nil {
		return false, err
	}
	for _, e := range engines {
		e.First = first
	}
	route := lab.ChatRoute("r-check", "/check/", service)
	route.Retained, route.RetentionS = false, 0
	services := []map[string]any{{
		"name": service, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tlsEnabled": false,
		"engine": map[string]any{"slots": 64, "kvCapacityTokens": 264043, "chunkTokens": 2},
	}}
	if err := l.Configure(7, []lab.Route{route}, services); err != nil {
		return false, err
	}
	if err := l.StartVMs(vms); err != nil {
		return false, err
	}
	if err := l.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	s := &session{lab: l, sound: engines[1:], cut: map[string]int{}, ends: map[string]int{}, firstEnd: map[string]time.Time{}}
	s.end = time.Now().Add(calm + named)
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { s.call(lab.Zones[i%len(lab.Zones)].Name) })
	}
	all.Go(s.restartEnded)
	time.Sleep(calm)
	if l.Trouble {
		l.Note("replica %s names its limit: %s", engines[0].ID, limit)
		engines[0].SetLimit(limit)
	}
	all.Wait()
	return s.judge()
}

// session is what callers sent and got.
type session struct {
	lab   *lab.Lab
	sound []*lab.Engine
	end   time.Time

	mu sync.Mutex
	// answered counts the requests that were answered whole, cut those at each VM that
	// ran at a sound replica and whose kept channel was closed without an answer.
	answered int
	cut      map[string]int
	// ends counts how often the process of each VM ended by itself, and firstEnd has the
	// time at which that was first seen.
	ends     map[string]int
	firstEnd map[string]time.Time
}

// restartEnded starts processes again that have ended, as the platform does.
func (s *session) restartEnded() {
	for time.Now().Before(s.end) {
		for _, v := range s.lab.VMs {
			if !v.Ended() {
				continue
			}
			s.mu.Lock()
			s.ends[v.Name]++
			times := s.ends[v.Name]
			if times == 1 {
				s.firstEnd[v.Name] = time.Now()
			}
			s.mu.Unlock()
			s.lab.Note("the process of %s has ended by itself, time %d", v.Name, times)
			if _, reason, ok := strings.Cut(v.Log(), "panic: "); ok && times == 1 {
				s.lab.Note("its log: panic: %.700s", reason)
			}
			v.Kill()
			time.Sleep(restartDelay)
			if err := s.lab.Start(v); err != nil {
				s.lab.Note("%s could not be started: %v", v.Name, err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call sends one stream after the other on a kept channel. After a failure the caller
// opens another one.
func (s *session) call(zone string) {
	program := lab.NewID()
	var channel *lab.Channel
	onChannel := 0
	for time.Now().Before(s.end) {
		if channel == nil {
			addresses := s.lab.Resolve(zone)
			if len(addresses) == 0 {
				time.Sleep(pause)
				continue
			}
			channel, onChannel = lab.NewChannel(addresses[rand.IntN(len(addresses))]), 0
		}
		got := channel.Send(lab.Request{
			Method: http.MethodPost, Path: "/check/2f", Body: "a question of " + program, TimeLimit: 6 * time.Second,
			Header: map[string]string{"X-Model": "m", "X-Token-Usage": "1460,136", "X-Prompt-Prefix": "5c1e07a2:800," + program[:8] + ":660"},
		})
		at := s.lab.NameOf(channel.Address)
		s.lab.Note("%s at %s, request %d on its channel: status %d, whole %t, %s, %v", got.ID, at, onChannel+1, got.Status, got.Whole,
			got.Took.Round(time.Millisecond), got.Err)
		s.note(got, at, onChannel > 0)
		onChannel++
		if got.Status != http.StatusOK || !got.Whole {
			channel.Close()
			channel = nil
		}
		time.Sleep(rand.N(2 * pause))
	}
	if channel != nil {
		channel.Close()
	}
}

func (s *session) note(got lab.Result, at string, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.Whole {
		s.answered++
		return
	}
	// Only the first end of a process counts, before which the VM was in touch.
	first, ended := s.firstEnd[at]
	if !kept || got.Status != 0 || got.Took > 5*time.Second || ended && time.Since(first) > restartDelay {
		return
	}
	for _, e := range s.sound {
		if _, ran := e.Body(got.ID); ran {
			s.cut[at]++
			s.lab.Note("broken: %s ran at the sound replica %s, and %s closed its kept channel without an answer", got.ID, e.ID, at)
		}
	}
}

// judge applies the bound of the rule: more than three times at a machine.
func (s *session) judge() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lab.Say("%d requests were answered; kept channels closed without an answer, by VM: %v; processes that ended by themselves: %v",
		s.answered, s.cut, s.ends)
	if s.answered == 0 {
		return false, errors.New("no request was answered")
	}
	for _, times := range s.cut {
		if times > allowed {
			return true, nil
		}
	}
	return false, nil
}
