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
	asked = record.Request{Call: "c1", Position: 1, Pool: "permits", Operation: "apply", Body: `{"a":"<b>"}`, MaxTokens: 7}
	reply = record.Answer{Body: "granted", Usage: record.Usage{Calls: 1, PromptTokens: 2, CachedTokens: 1, OutputTokens: 3}}

	records = []record.Record{
		record.Opened{
			Program: "p", Team: "t", Class: "chat",
			Budget: record.Budget{Calls: 9, Tokens: 900, Expires: time.Date(2026, 5, 6, 7, 8, 9, 10, time.UTC)},
		},
		record.Started{
			Program: "p", Request: asked, BodyHash: 1<<64 - 1, Attempt: 1, Need: record.Amount{Calls: 1, Tokens: 60},
			Holder: record.Holder{VM: "vm-1", Process: "f00d"},
		},
		record.Intended{Program: "p", Call: "c1", Attempt: 1, Upstream: "u"},
		record.Cancelled{Program: "p", Call: "c1", Attempt: 1},
		record.Failed{Program: "p", Call: "c1", Attempt: 1, Dispatched: true, Usage: reply.Usage, Upstream: "u"},
		record.Doubted{Program: "p", Call: "c2", Attempt: 1},
		record.Completed{Program: "p", Call: "c1", Attempt: 2, Upstream: "u", Answer: reply, Resident: true},
		record.Resolved{Program: "p", Call: "c2", Ran: true, Answer: reply, By: "look_up"},
		record.Ended{Program: "p", Reason: "caller"},
		record.Released{Program: "p", Upstream: "u"},
	}
)

// golden compares pretty-printed JSON with a file of a txtar archive.
func golden(archive, name string, encoded []byte) {
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
	// Guards against a change of a format that state already stored has.
	It("of records is kept", func() {
		encoded, err := encoder.EncodeRecords(records)
		Expect(err).NotTo(HaveOccurred())
		golden("stored.txtar", "records.json", encoded)
		Expect(encoder.DecodeRecords(encoded)).To(Equal(records))
	})
})

var _ = Describe("strict decoding", func() {
	// Guards against records that are applied in part because a newer process
	// wrote some that this one does not know.
	DescribeTable("refuses what is not fully understood",
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

	// Guards against a history that is stored otherwise than it was.
	It("refuses to encode text that JSON would change", func() {
		_, err := encoder.EncodeRecords([]record.Record{record.Ended{Program: "p", Reason: "a\xffb"}})
		Expect(err).To(HaveOccurred())
		for _, kept := range []string{"\ufffd", `\ufffd`, `\\ufffd`, "\\\ufffd"} {
			whole := []record.Record{record.Ended{Program: "p", Reason: kept}}
			encoded, err := encoder.EncodeRecords(whole)
			Expect(err).NotTo(HaveOccurred())
			Expect(encoder.DecodeRecords(encoded)).To(Equal(whole))
		}
	})
})
