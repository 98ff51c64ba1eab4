package meter

import "fmt"

// CountRefusedCaller counts a caller that was refused, or whose connection was closed, for
// a limit on memory or connections. The reason must be one of a few constant texts.
func (m *Meter) CountRefusedCaller(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_refused_callers_total{reason="%s"}`, reason)).Inc()
}

// ObserveRequestMemory sets the function that returns the bytes that are held for requests.
func (m *Meter) ObserveRequestMemory(bytes func() float64) {
	m.set.NewGauge("sassafrasspur_request_memory_bytes", bytes)
}
