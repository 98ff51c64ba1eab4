package headcounter_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/headcounter"
)

// Guards against lines that are not counted, and against a body that is counted as a part
// of its header section.
func TestHeadcounter(t *testing.T) {
	unescape := strings.NewReplacer(`\r`, "\r", `\n`, "\n")
	err := goldentest.Check("testdata/*.txtar", func(line string) string {
		var h headcounter.Headcounter
		h.Count([]byte(unescape.Replace(line)))
		return describe(h)
	})
	if err != nil {
		t.Error(err)
	}
}

// Guards against a count that depends on the pieces in which a header section arrives.
func FuzzPieces(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\nbody\n\n", 3)
	f.Add("\r\n\n\r\rGET / HTTP/1.1\n\r\n", 1)
	f.Add("a\n\r\r\n", 2)
	f.Fuzz(func(t *testing.T, text string, size int) {
		var whole, pieces headcounter.Headcounter
		whole.Count([]byte(text))
		size = max(1, size%64)
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			pieces.Count([]byte(rest[:n]))
			rest = rest[n:]
		}
		if describe(whole) != describe(pieces) {
			t.Fatalf("whole %s, in pieces of %d %s", describe(whole), size, describe(pieces))
		}
		if whole.Bytes > len(text) || whole.Lines > strings.Count(text, "\n") || !whole.Ended && whole.Bytes != len(text) {
			t.Fatalf("%q: %s", text, describe(whole))
		}
	})
}

func describe(h headcounter.Headcounter) string {
	return fmt.Sprintf("bytes=%d lines=%d ended=%t", h.Bytes, h.Lines, h.Ended)
}
