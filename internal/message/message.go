package message

// Message is an input of the control goroutine. The interface is sealed: the
// variants are the types of this package.
type Message interface{ sealed() }

// Tick says that the time asked for by effect.WakeAt has come.
type Tick struct{}

// Started is the first message that controllers receive.
type Started struct{}

// ShutdownRequested asks the node to leave.
type ShutdownRequested struct{}

func (Tick) sealed()              {}
func (Started) sealed()           {}
func (ShutdownRequested) sealed() {}
