package upstream

import "github.com/sassafrasspur/sassafrasspur/unit"

// Load is what an engine reported of itself.
type Load struct {
	// Running and Waiting are the numbers of requests that it runs and queues.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MemoryUsed is the memory that cached prompts can't be evicted from, MemoryTotal
	// all of it.
	MemoryUsed  unit.Tokens `json:"memory_used"`
	MemoryTotal unit.Tokens `json:"memory_total"`
}
