// Package promptrenderer renders the history of a program as the prompt of its next call.
package promptrenderer

import (
	"strings"

	"github.com/sassafrasspur/sassafrasspur/internal/program"
)

// Promptrenderer renders prompts. Each prompt extends the prompt of the previous
// turn, so that an engine that has the program's prefix cached computes only the new
// part.
type Promptrenderer struct{}

// Render returns the prompt of a call with the given body that follows the turns
// of history.
func (Promptrenderer) Render(history []program.Turn, body string) string {
	var b strings.Builder
	for _, turn := range history {
		writeTurn(&b, turn.Body, turn.Answer.Body)
	}
	b.WriteString("user: ")
	b.WriteString(body)
	b.WriteString("\nassistant:")
	return b.String()
}

func writeTurn(b *strings.Builder, body, answer string) {
	b.WriteString("user: ")
	b.WriteString(body)
	b.WriteString("\nassistant: ")
	b.WriteString(answer)
	b.WriteString("\n")
}
