package orderer

import "github.com/sassafrasspur/sassafrasspur/internal/chain"

// tolerantSink goes on when the caller has gone: the call's work is finished
// and recorded all the same.
type tolerantSink struct {
	sink chain.Sink
	gone bool
}

// Chunk passes a part of the answer on.
func (s *tolerantSink) Chunk(index int, text string) error {
	if !s.gone {
		s.gone = s.sink.Chunk(index, text) != nil
	}
	return nil
}

// Void passes on that earlier parts are void.
func (s *tolerantSink) Void() error {
	if !s.gone {
		s.gone = s.sink.Void() != nil
	}
	return nil
}

// End passes the end marker on.
func (s *tolerantSink) End(end chain.End) error {
	if s.gone {
		return nil
	}
	return s.sink.End(end)
}
