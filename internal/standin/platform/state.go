package platform

import (
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/lagger"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/transactor"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// vm is an entry of the VM list.
type vm struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// States of a VM. A VM that is gone is not in the list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
	stateGone    = "gone"
)

// faults are the faults that are set.
type faults struct {
	Outage      bool `json:"outage"`
	Silent      bool `json:"silent"`
	LatencyMS   int  `json:"latency_ms"`
	LoseAnswers int  `json:"lose_answers"`
}

// stats are the counters since the start. Refused counts requests beyond the
// limits of rate.
type stats struct {
	Reads          int `json:"reads"`
	Writes         int `json:"writes"`
	ObjectsRead    int `json:"objects_read"`
	ObjectsWritten int `json:"objects_written"`
	Refused        int `json:"refused"`
}

type command interface{ command() }

type (
	// change replaces the faults that are not nil.
	change struct {
		Outage      *bool `json:"outage"`
		Silent      *bool `json:"silent"`
		LatencyMS   *int  `json:"latency_ms"`
		LoseAnswers *int  `json:"lose_answers"`
	}
	observe  struct{}
	get      struct{ key transactor.Key }
	query    struct{ kind string }
	transact struct {
		operations []transactor.Operation
		// returnOld says which failed conditions are answered with the row.
		returnOld []bool
	}
	getObject struct{ key string }
	putObject struct {
		key    string
		body   []byte
		create bool
	}
	deleteObject struct{ key string }
	setVM        struct{ vm vm }
	listVMs      struct{}
	readStats    struct{}
)

func (change) command()       {}
func (observe) command()      {}
func (get) command()          {}
func (query) command()        {}
func (transact) command()     {}
func (getObject) command()    {}
func (putObject) command()    {}
func (deleteObject) command() {}
func (setVM) command()        {}
func (listVMs) command()      {}
func (readStats) command()    {}

type reply interface{ reply() }

type (
	current struct {
		faults faults
		// resumed is closed when the silence ends; nil if there is none.
		resumed <-chan struct{}
	}
	items     struct{ items []transactor.Item }
	committed struct{ lost bool }
	// cancelled has the indexes of the failed conditions and all present rows.
	cancelled struct {
		failed []int
		rows   []transactor.Item
	}
	throttled struct{}
	found     struct{ object *object }
	existing  struct{}
	done      struct{}
	vms       struct{ vms []vm }
	counters  struct{ stats stats }
)

func (current) reply()   {}
func (items) reply()     {}
func (committed) reply() {}
func (cancelled) reply() {}
func (throttled) reply() {}
func (found) reply()     {}
func (existing) reply()  {}
func (done) reply()      {}
func (vms) reply()       {}
func (counters) reply()  {}

type object struct {
	body     []byte
	modified time.Time
}

type state struct {
	faults       faults
	resume       chan struct{}
	table        *transactor.Transactor
	objects      map[string]*object
	list         *[]vm
	reported     *lagger.Lagger[*[]vm]
	readLimit    *rate.Limiter
	writeLimit   *rate.Limiter
	shareObjects bool
	stats        stats
}

func (s *state) Tick(time.Time) time.Time { return time.Time{} }

func (s *state) Handle(now time.Time, c command) reply {
	switch c := c.(type) {
	case change:
		return s.change(c)
	case observe:
		return s.current()
	case get:
		return s.read(now, func() []transactor.Item {
			if item := s.table.Get(c.key); item != nil {
				return []transactor.Item{item}
			}
			return nil
		})
	case query:
		return s.read(now, func() []transactor.Item { return s.table.Query(c.kind) })
	case transact:
		return s.transact(now, c)
	case getObject, putObject, deleteObject:
		return s.handleObject(now, c)
	case setVM:
		s.setVM(now, c.vm)
	case listVMs:
		return vms{vms: *s.reported.Get(now)}
	case readStats:
		return counters{stats: s.stats}
	}
	return done{}
}

func (s *state) current() reply {
	c := current{faults: s.faults}
	if s.resume != nil {
		c.resumed = s.resume
	}
	return c
}

func replace[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

func (s *state) change(c change) reply {
	replace(&s.faults.Outage, c.Outage)
	replace(&s.faults.Silent, c.Silent)
	replace(&s.faults.LatencyMS, c.LatencyMS)
	replace(&s.faults.LoseAnswers, c.LoseAnswers)
	switch {
	case s.faults.Silent && s.resume == nil:
		s.resume = make(chan struct{})
	case !s.faults.Silent && s.resume != nil:
		close(s.resume)
		s.resume = nil
	}
	return s.current()
}

// allow takes n from a limit. A request above the burst takes all of it, since
// it could never succeed otherwise.
func (s *state) allow(now time.Time, limit *rate.Limiter, n int) bool {
	if limit.AllowN(now, min(n, limit.Burst())) {
		return true
	}
	s.stats.Refused++
	return false
}

// readUnit is the size that one read of the table covers, as in DynamoDB.
const readUnit unit.Bytes = 4096

func (s *state) read(now time.Time, rows func() []transactor.Item) reply {
	result := rows()
	var size unit.Bytes
	for _, item := range result {
		size += sizeOf(item)
	}
	reads := max(1, int((size+readUnit-1)/readUnit))
	if !s.allow(now, s.readLimit, reads) {
		return throttled{}
	}
	s.stats.Reads += reads
	return items{items: result}
}

func sizeOf(item transactor.Item) unit.Bytes {
	var size int
	for name, value := range item {
		size += len(name)
		switch v := value.(type) {
		case transactor.String:
			size += len(v)
		case transactor.Number:
			size += len(v)
		}
	}
	return unit.Bytes(size)
}

func (s *state) transact(now time.Time, c transact) reply {
	if !s.allow(now, s.writeLimit, len(c.operations)) {
		return throttled{}
	}
	s.stats.Writes += len(c.operations)
	if failed := s.table.Transact(c.operations); failed != nil {
		rows := make([]transactor.Item, len(c.operations))
		for i, operation := range c.operations {
			rows[i] = s.table.Get(transactor.KeyOf(operation))
		}
		return cancelled{failed: failed, rows: rows}
	}
	lost := s.faults.LoseAnswers > 0
	if lost {
		s.faults.LoseAnswers--
	}
	return committed{lost: lost}
}

func (s *state) handleObject(now time.Time, c command) reply {
	limit := s.writeLimit
	if _, ok := c.(getObject); ok {
		limit = s.readLimit
	}
	if s.shareObjects && !s.allow(now, limit, 1) {
		return throttled{}
	}
	switch c := c.(type) {
	case getObject:
		s.stats.ObjectsRead++
		return found{object: s.objects[c.key]}
	case putObject:
		if s.objects[c.key] != nil && c.create {
			return existing{}
		}
		s.stats.ObjectsWritten++
		s.objects[c.key] = &object{body: c.body, modified: now}
	case deleteObject:
		s.stats.ObjectsWritten++
		delete(s.objects, c.key)
	}
	return done{}
}

// setVM makes a new list, since older ones are still to be reported.
func (s *state) setVM(now time.Time, changed vm) {
	list := []vm{}
	for _, other := range *s.list {
		if other.Address != changed.Address {
			list = append(list, other)
		}
	}
	if changed.State != stateGone {
		list = append(list, changed)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	s.list = &list
	s.reported.Set(now, s.list)
}
