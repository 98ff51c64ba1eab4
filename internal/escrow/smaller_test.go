package escrow_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// slowReader answers reads once release is closed. It closes reading at the first one.
type slowReader struct {
	rows.Store
	reading, release chan struct{}
}

func (s *slowReader) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	select {
	case <-s.reading:
	default:
		close(s.reading)
	}
	<-s.release
	return s.Store.Read(ctx, r)
}

// Guards against a turn that the budget covers and that is refused for good, because it
// waited for the reservation of a larger turn of its program.
func TestTurnAfterLargerOne(t *testing.T) {
	g := NewWithT(t)
	store := &slowReader{Store: rowstore.New(), reading: make(chan struct{}), release: make(chan struct{})}
	e := escrow.New(t.Context(), store, timer.New(), escrow.WithTimeout(10*time.Second))
	_, err := e.Take(t.Context(), escrow.Request{Program: "p", Budget: 160, MaxTokens: 100})
	g.Expect(err).NotTo(HaveOccurred())
	large, small := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := e.Take(t.Context(), escrow.Request{Program: "p", Budget: 160, MaxTokens: 100})
		large <- err
	}()
	<-store.reading
	go func() {
		_, err := e.Take(t.Context(), escrow.Request{Program: "p", Budget: 160, MaxTokens: 10})
		small <- err
	}()
	// The small turn begins to wait for the read.
	time.Sleep(50 * time.Millisecond)
	close(store.release)
	g.Expect(<-large).To(MatchError(failure.BudgetExhausted))
	g.Expect(<-small).To(Succeed())
}
