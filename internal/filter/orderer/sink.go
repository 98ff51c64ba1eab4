package orderer

import "github.com/sassafrasspur/sassafrasspur/internal/chain"

// tolerantSink discards the answer once the caller has disconnected, so that the call
// is still completed and recorded.
type tolerantSink struct {
	sink       chain.Sink
	callerGone bool
}

// Chunk forwards a chunk unless the caller has disconnected.
func (s *tolerantSink) Chunk(index int, text string) error {
	if !s.callerGone {
		s.callerGone = s.sink.Chunk(index, text) != nil
	}
	return nil
}

// Void forwards the notice that the earlier chunks are void, unless the caller has
// disconnected.
func (s *tolerantSink) Void() error {
	if !s.callerGone {
		s.callerGone = s.sink.Void() != nil
	}
	return nil
}

// End forwards the end marker unless the caller has disconnected.
func (s *tolerantSink) End(end chain.End) error {
	if s.callerGone {
		return nil
	}
	return s.sink.End(end)
}
