package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playManyParts lets a crowd at each of two machines send requests whose header section has
// 15.6 KB, most of it a list of 3,900 parts of a prompt. With TROUBLE=0 the list has three
// parts.
func playManyParts(l *lab) (bool, error) {
	const crowd, rounds, memory, crowded = 900, 14, 144, 2
	parts := 3900
	if !l.trouble {
		parts = 3
	}
	prefix := strings.TrimSuffix(strings.Repeat("1:1,", parts), ",")
	l.oneCore = true
	l.deploy(nil)
	if err := l.startReplicas(9, engines, 64, sound(behaviour{work: 24 * time.Millisecond, eventText: "yes"})); err != nil {
		return false, err
	}
	if err := l.startVMs(3, memory, inTurn); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, v := range l.vms {
		watchers.Go(func() { v.limitMemory(done) })
	}
	var crowds sync.WaitGroup
	for n, v := range l.vms[:crowded] {
		for i := range crowd {
			crowds.Go(func() {
				for round := range rounds {
					a := turn(fmt.Sprintf("b%03x%04x%08x", n, i, round), fmt.Sprintf("q%d-%d", n, i), "", "go on", parts)
					a.method, a.path, a.header["X-Prompt-Prefix"] = http.MethodPost, quickPath+"2f", prefix
					a.header["X-Token-Usage"] = fmt.Sprintf("%d,136", parts)
					l.once(v, a)
					time.Sleep(time.Second)
				}
			})
		}
	}
	crowds.Wait()
	close(done)
	watchers.Wait()
	exceeded := 0
	for _, v := range l.vms {
		l.say("%s exceeded its %d MB and was killed %d times", v.name, memory, v.killed())
		if v.killed() >= 3 {
			exceeded++
		}
	}
	l.say("requests: %s", l.outcomes())
	return exceeded >= crowded, nil
}
