package tabler_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
}

type item map[string]attribute

// fake is a table service with faults. Its clients' addresses tell connections
// apart.
type fake struct {
	*httptest.Server

	mu    sync.Mutex
	items map[string]item
	// remotes holds the client address of each request.
	remotes []string
	// pageSize bounds the rows of one answer to a query; 0 is unbounded.
	pageSize int

	// loseAnswers is the number of writes that take effect and are not
	// answered, dropWrites of those that neither take effect nor are answered.
	loseAnswers, dropWrites, failReads, throttleWrites atomic.Int64
	transactions                                       atomic.Int64
	closing                                            chan struct{}
	// gate holds up reads until it is closed.
	gate chan struct{}
}

func newFake() *fake {
	f := &fake{items: map[string]item{}, closing: make(chan struct{}), gate: make(chan struct{})}
	close(f.gate)
	f.Server = httptest.NewServer(f)
	return f
}

func (f *fake) stop() {
	close(f.closing)
	f.Close()
}

func (f *fake) seen() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.remotes...)
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.remotes = append(f.remotes, r.RemoteAddr)
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	switch strings.TrimPrefix(r.Header.Get("X-Amz-Target"), "DynamoDB_20120810.") {
	case "GetItem":
		f.get(w, r)
	case "Query":
		f.query(w, r)
	case "TransactWriteItems":
		f.write(w, r)
	default:
		refuse(w, http.StatusBadRequest, "UnknownOperationException", nil)
	}
}

func (f *fake) get(w http.ResponseWriter, r *http.Request) {
	<-f.gate
	if take(&f.failReads) {
		refuse(w, http.StatusInternalServerError, "InternalServerError", nil)
		return
	}
	var in struct {
		Key            item
		ConsistentRead bool
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || !in.ConsistentRead {
		refuse(w, http.StatusBadRequest, "ValidationException", nil)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		Item item `json:",omitempty"`
	}{f.items[keyOf(in.Key)]})
}

func (f *fake) query(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpressionAttributeValues map[string]attribute
		ExclusiveStartKey         item
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	start := 0
	if in.ExclusiveStartKey != nil {
		start, _ = strconv.Atoi(*in.ExclusiveStartKey["key"].S)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := struct {
		Items            []item
		LastEvaluatedKey item `json:",omitempty"`
	}{}
	// Keys are numbers from 0 in these tests.
	kind := *in.ExpressionAttributeValues[":kind"].S
	for n := start; ; n++ {
		row, ok := f.items[kind+"/"+strconv.Itoa(n)]
		if !ok {
			break
		}
		if f.pageSize > 0 && len(out.Items) == f.pageSize {
			next := strconv.Itoa(n)
			out.LastEvaluatedKey = item{"kind": {S: &kind}, "key": {S: &next}}
			break
		}
		out.Items = append(out.Items, row)
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (f *fake) write(w http.ResponseWriter, r *http.Request) {
	f.transactions.Add(1)
	if take(&f.throttleWrites) {
		refuse(w, http.StatusBadRequest, "ProvisionedThroughputExceededException", nil)
		return
	}
	var in struct {
		TransactItems []struct {
			Put struct {
				Item                      item
				ConditionExpression       string
				ExpressionAttributeValues map[string]attribute
			}
		}
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		refuse(w, http.StatusBadRequest, "ValidationException", nil)
		return
	}
	if take(&f.dropWrites) {
		f.hang(r)
		return
	}
	f.mu.Lock()
	reasons, failed := make([]map[string]string, len(in.TransactItems)), false
	for i, t := range in.TransactItems {
		old, exists := f.items[keyOf(t.Put.Item)]
		holds := !exists
		if t.Put.ConditionExpression == "#version = :expect" {
			holds = exists && *old["version"].N == *t.Put.ExpressionAttributeValues[":expect"].N
		}
		reasons[i] = map[string]string{"Code": "None"}
		if !holds {
			failed = true
			reasons[i]["Code"] = "ConditionalCheckFailed"
		}
	}
	if !failed {
		for _, t := range in.TransactItems {
			f.items[keyOf(t.Put.Item)] = t.Put.Item
		}
	}
	f.mu.Unlock()
	switch {
	case failed:
		refuse(w, http.StatusBadRequest, "TransactionCanceledException", reasons)
	case take(&f.loseAnswers):
		f.hang(r)
	default:
		_, _ = w.Write([]byte("{}"))
	}
}

// hang never answers, as a silent platform does.
func (f *fake) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-f.closing:
	}
}

func take(n *atomic.Int64) bool {
	for {
		left := n.Load()
		if left <= 0 {
			return false
		}
		if n.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

func keyOf(i item) string { return *i["kind"].S + "/" + *i["key"].S }

func refuse(w http.ResponseWriter, status int, name string, reasons any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"__type": "com.amazonaws.dynamodb.v20120810#" + name, "message": name, "CancellationReasons": reasons,
	})
}
