package intentparser_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/intentparser"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against intents that are read in part: a misspelled key that is
// ignored would change less than the operator asked for.
func TestParse(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		g := NewWithT(t)
		archive, err := txtar.ParseFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		for i := 0; i+1 < len(archive.Files); i += 2 {
			batch, err := intentparser.Parse(string(archive.Files[i].Data))
			var got string
			for _, wanted := range batch.Intents {
				got += fmt.Sprintf("%T%+v\n", wanted, wanted)
			}
			if err != nil {
				g.Expect(failure.From(err).Kind).To(Equal(failure.InvalidRequest))
				got += err.Error() + "\n"
			}
			if *update {
				archive.Files[i+1].Data = []byte(got)
			}
			g.Expect(got).To(Equal(string(archive.Files[i+1].Data)), archive.Files[i].Name)
		}
		if *update {
			g.Expect(os.WriteFile(file, txtar.Format(archive), 0o600)).To(Succeed())
		}
	}
}
