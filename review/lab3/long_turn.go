package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playLongTurn sends turns with an input of 850 KB, within the 4 MB that the configuration
// allows, on a kept channel. With TROUBLE=0 the input has 8 KB.
func playLongTurn(l *lab) (bool, error) {
	const turns, maxLost = 8, 3
	size := 850 << 10
	if !l.trouble {
		size = 8 << 10
	}
	l.deploy(nil)
	if err := l.startReplicas(9, engines, 64, sound(behaviour{work: 10 * time.Millisecond, eventText: "yes"})); err != nil {
		return false, err
	}
	if err := l.startVMs(3, 144, inTurn); err != nil {
		return false, err
	}
	lost, served := 0, 0
	var kept *channel
	for i := range turns {
		if kept == nil {
			var err error
			if kept, err = dial(l.vms[0].requests); err != nil {
				return false, errors.Join(errCannotRun, err)
			}
			// A small turn makes it a kept channel.
			l.on(kept, l.vms[0], turn(fmt.Sprintf("c%015x", i), fmt.Sprintf("c%d", i), "", "begin", 900))
		}
		a := turn(fmt.Sprintf("e%015x", i), fmt.Sprintf("e%d", i), "", strings.Repeat("word ", size/5), size/5)
		r := l.on(kept, l.vms[0], a)
		switch {
		case r.err == nil && r.status == http.StatusOK:
			served++
		case r.err != nil && len(l.runsOf(a.id)) > 0:
			lost++
			_ = kept.conn.Close()
			kept = nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	l.say("%d turns with %d bytes: %d answered whole, %d ran and were closed without a complete answer; %d are allowed", turns, size, served, lost, maxLost)
	return lost > maxLost, nil
}
