package encoder_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/internal/encoder"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

var update = flag.Bool("update", false, "write golden files")

func TestEncoder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "encoder")
}

var (
	sampleRequest = record.Request{Call: "c1", Position: 1, Pool: "permits", Operation: "apply", Body: `{"a":"<b>"}`, MaxTokens: 7}
	sampleAnswer  = record.Answer{Body: "granted", Usage: record.Usage{Calls: 1, PromptTokens: 2, CachedTokens: 1, OutputTokens: 3}}

	sampleRecords = []record.Record{
		record.Opened{
			Program: "p", Team: "t", Class: "chat",
			Budget: record.Budget{Calls: 9, Tokens: 900, Expires: time.Date(2026, 5, 6, 7, 8, 9, 10, time.UTC)},
		},
		record.Started{
			Program: "p", Request: sampleRequest, BodyHash: 1<<64 - 1, Attempt: 1, Need: record.Amount{Calls: 1, Tokens: 60},
			Holder: record.Holder{VM: "vm-1", Process: "f00d"},
		},
		record.Intended{Program: "p", Call: "c1", Attempt: 1, Upstream: "u"},
		record.Cancelled{Program: "p", Call: "c1", Attempt: 1},
		record.Failed{Program: "p", Call: "c1", Attempt: 1, Dispatched: true, Usage: sampleAnswer.Usage, Upstream: "u"},
		record.Doubted{Program: "p", Call: "c2", Attempt: 1},
		record.Completed{Program: "p", Call: "c1", Attempt: 2, Upstream: "u", Answer: sampleAnswer, Resident: true},
		record.Resolved{Program: "p", Call: "c2", Ran: true, Answer: sampleAnswer, By: "look_up"},
		record.Ended{Program: "p", Reason: "caller"},
		record.Released{Program: "p", Upstream: "u"},
	}
)

// expectGolden compares pretty-printed JSON with a file of a txtar archive, or
// writes the file if -update is set.
func expectGolden(archive, name string, encoded []byte) {
	GinkgoHelper()
	var pretty bytes.Buffer
	Expect(json.Indent(&pretty, encoded, "", "  ")).To(Succeed())
	pretty.WriteByte('\n')
	path := filepath.Join("testdata", archive)
	content, err := os.ReadFile(path)
	if err != nil && !*update {
		Fail(err.Error())
	}
	a := txtar.Parse(content)
	for i, file := range a.Files {
		if file.Name != name {
			continue
		}
		if !*update {
			Expect(pretty.String()).To(Equal(string(file.Data)))
			return
		}
		a.Files[i].Data = pretty.Bytes()
		Expect(os.WriteFile(path, txtar.Format(a), 0o600)).To(Succeed())
		return
	}
	if !*update {
		Fail("no golden file " + name)
	}
	a.Files = append(a.Files, txtar.File{Name: name, Data: pretty.Bytes()})
	Expect(os.WriteFile(path, txtar.Format(a), 0o600)).To(Succeed())
}

var _ = Describe("the stored format", func() {
	// Guards against a format change that makes records already in the store
	// unreadable.
	It("of records is stable", func() {
		encoded, err := encoder.EncodeRecords(sampleRecords)
		Expect(err).NotTo(HaveOccurred())
		expectGolden("stored.txtar", "records.json", encoded)
		Expect(encoder.DecodeRecords(encoded)).To(Equal(sampleRecords))
	})
})

var _ = Describe("strict decoding", func() {
	// Guards against a process applying only some of the records that a newer
	// version wrote, because it does not know the others.
	DescribeTable("rejects data that is not fully understood",
		func(data string) {
			_, err := encoder.DecodeRecords([]byte(data))
			Expect(err).To(HaveOccurred())
		},
		Entry("unknown tag", `[{"type":"moved","record":{"program":"p"}}]`),
		Entry("unknown key", `[{"type":"ended","record":{"program":"p","reason":"","x":1}}]`),
		Entry("no program", `[{"type":"ended","record":{"reason":""}}]`),
		Entry("null record", `[{"type":"ended","record":null}]`),
		Entry("no record", `[{"type":"ended"}]`),
		Entry("two values", `[]{}`),
		Entry("cut off", `[`),
		Entry("no list", `{}`),
		Entry("null", `null`),
		Entry("empty", ``),
	)

	// Guards against a stored history that differs from the original because
	// encoding/json replaces invalid UTF-8.
	It("rejects text that JSON would change", func() {
		_, err := encoder.EncodeRecords([]record.Record{record.Ended{Program: "p", Reason: "a\xffb"}})
		Expect(err).To(HaveOccurred())
		for _, text := range []string{"\ufffd", `\ufffd`, `\\ufffd`, "\\\ufffd"} {
			original := []record.Record{record.Ended{Program: "p", Reason: text}}
			encoded, err := encoder.EncodeRecords(original)
			Expect(err).NotTo(HaveOccurred())
			Expect(encoder.DecodeRecords(encoded)).To(Equal(original))
		}
	})
})
