// Package message defines the messages that the control goroutine receives.
//
// Messages come from traffic goroutines, from the effect runner, which reports the
// results of effects, and from other controllers.
package message
