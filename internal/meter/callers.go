package meter

import "fmt"

// CountRefusedCaller counts a caller that was refused, or whose connection was closed, for
// a limit on memory or connections. The reason must be one of a few constant texts.
func (m *Meter) CountRefusedCaller(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_refused_callers_total{reason="%s"}`, reason)).Inc()
}

// ObserveRequestMemory sets the functions that return the bytes that are held for requests
// and their answers, and the number of answers that wait for memory.
func (m *Meter) ObserveRequestMemory(bytes, waiting func() float64) {
	m.set.NewGauge("sassafrasspur_request_memory_bytes", bytes)
	m.set.NewGauge("sassafrasspur_answers_awaiting_memory", waiting)
}
