package message

// Message is an input of the control goroutine. The interface is sealed: the
// variants are the message types of this package.
type Message interface{ sealed() }

// Tick reports that the time requested by effect.WakeAt has been reached.
type Tick struct{}

// Started is the first message that controllers receive.
type Started struct{}

// ShutdownRequested requests a graceful shutdown of this server process.
type ShutdownRequested struct{}

func (Tick) sealed()              {}
func (Started) sealed()           {}
func (ShutdownRequested) sealed() {}
