package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// longestInput is the largest input that the product admits, and largeInput one whose
	// transaction exceeds the store's limit only in base64. The configuration allows 4 MB.
	longestInput = 1 << 20
	largeInput   = 850 << 10
)

// playLongTurn sends turns with long inputs on kept channels. With TROUBLE=0 the inputs have
// 8 KB.
func playLongTurn(l *lab) (bool, error) {
	const turns, maxLost = 6, 3
	sizes := []int{longestInput, largeInput}
	if !l.trouble {
		sizes = []int{8 << 10}
	}
	l.deploy(nil)
	if err := l.startReplicas(9, engines, 64, sound(behaviour{work: 10 * time.Millisecond, eventText: "yes"})); err != nil {
		return false, err
	}
	if err := l.startVMs(3, 144, inTurn); err != nil {
		return false, err
	}
	unanswered := 0
	for _, size := range sizes {
		none, cut, served, err := l.sendLongTurns(turns, size)
		if err != nil {
			return false, err
		}
		unanswered += none
		l.say("%d turns of %d bytes: %d answered whole; %d ran, and their kept channel was closed without a byte of an answer; %d ran and were cut",
			turns, size, served, none, cut)
	}
	l.say("%d channels were closed without an answer; %d are allowed", unanswered, maxLost)
	return unanswered > maxLost, nil
}

// sendLongTurns sends turns to one machine, each on a channel on which another turn has been
// answered. It returns how many ran and got no byte of an answer, how many ran and were cut,
// and how many were answered whole.
func (l *lab) sendLongTurns(turns, size int) (none, cut, served int, err error) {
	v := l.vms[0]
	for i := range turns {
		kept, err := dial(v)
		if err != nil {
			return none, cut, served, errors.Join(errCannotRun, err)
		}
		id := fmt.Sprintf("%x%08x", size, i)
		if r := l.on(kept, v, turn("c"+id, "c"+id, "", "begin", 900)); r.err != nil || r.status != http.StatusOK {
			return none, cut, served, errCannotRun
		}
		a := turn("e"+id, "e"+id, "", strings.Repeat("word ", size/5+1)[:size], size/5)
		r := l.on(kept, v, a)
		ran := len(l.runsOf(a.id)) > 0
		switch {
		case r.err == nil && r.status == http.StatusOK:
			served++
		case r.err != nil && ran && r.status == 0:
			none++
		case r.err != nil && ran:
			cut++
		}
		_ = kept.conn.Close()
		time.Sleep(200 * time.Millisecond)
	}
	return none, cut, served, nil
}
