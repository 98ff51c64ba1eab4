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

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/encoder"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var update = flag.Bool("update", false, "write golden files")

func TestEncoder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "encoder")
}

var (
	asked = record.Request{Call: "c1", Position: 1, Pool: "permits", Operation: "apply", Body: `{"a":"<b>"}`, MaxTokens: 7}
	reply = record.Answer{Body: "granted", Usage: record.Usage{Calls: 1, PromptTokens: 2, CachedTokens: 1, OutputTokens: 3}}

	entries = []message.Entry{
		{Shard: 3, Epoch: 4, Record: record.Opened{
			Program: "p", Team: "t", Class: "chat", Allowance: record.Allowance{Calls: 2, Tokens: 50},
			Budget: record.Budget{Calls: 9, Tokens: 900, Expires: time.Date(2026, 5, 6, 7, 8, 9, 10, time.UTC)},
		}},
		{Shard: 3, Epoch: 4, Record: record.Extended{Program: "p", Allowance: record.Allowance{Calls: 3, Tokens: 60}}},
		{Shard: 3, Epoch: 4, Record: record.Intended{Program: "p", Request: asked, BodyHash: 1<<64 - 1, Attempt: 1, Upstream: "u", Epoch: 4}},
		{Shard: 3, Epoch: 4, Record: record.Cancelled{Program: "p", Call: "c1", Attempt: 1}},
		{Shard: 3, Epoch: 4, Record: record.Completed{Program: "p", Request: asked, BodyHash: 5, Attempt: 2, Upstream: "u", Answer: reply, Resident: true}},
		{Shard: 3, Epoch: 4, Record: record.Resolved{Program: "p", Call: "c2", Ran: true, Answer: reply, By: "look_up"}},
		{Shard: 3, Epoch: 4, Record: record.Ended{Program: "p", Reason: "caller"}},
		{Shard: 3, Epoch: 4, Record: record.Released{Program: "p", Upstream: "u"}},
	}

	node = cluster.Node{
		VM: "vm-1", Incarnation: 2, State: cluster.Live, PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2",
		Region: "noord", Domain: "noord-a", Head: 12, WriteID: "w", Version: 5,
	}
	assignment = cluster.Assignment{
		Owners: []cluster.Owner{{VM: "vm-1", Incarnation: 2, Epoch: 4, Since: 10}}, WriteID: "w", Version: 5,
	}
	shardRow = cluster.ShardRow{
		Shard: 3, Checkpoint: "checkpoint/3/4-1", Epoch: 4, Covered: 11,
		Spans: []cluster.Span{{VM: "vm-0", Incarnation: 1, Epoch: 3, From: 7, To: 9}}, WriteID: "w", Version: 5,
	}
)

// programs is the state after the entries that come before the end.
func programs() program.Set {
	set := program.Set{}
	for _, e := range entries[:5] {
		set.Apply(e.Record)
	}
	return set
}

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

// row is a row of the table as it is read back.
func row(body []byte) table.Row { return table.Row{Key: "k", Version: 5, WriteID: "w", Body: body} }

var _ = Describe("the stored formats", Ordered, func() {
	// Guards against a change of a format that state already stored has.
	It("keeps the format of segments", func() {
		encoded, err := encoder.Segment(entries)
		Expect(err).NotTo(HaveOccurred())
		golden("stored.txtar", "segment.json", encoded)
		Expect(encoder.ReadSegment(encoded)).To(Equal(entries))
	})

	It("keeps the format of checkpoints", func() {
		encoded, err := encoder.Checkpoint(programs())
		Expect(err).NotTo(HaveOccurred())
		golden("stored.txtar", "checkpoint.json", encoded)
		Expect(encoder.ReadCheckpoint(encoded)).To(Equal(programs()))
	})

	It("keeps the format of rows", func() {
		encoded, err := encoder.Node(node)
		Expect(err).NotTo(HaveOccurred())
		golden("stored.txtar", "node.json", encoded)
		Expect(encoder.ReadNode(row(encoded))).To(Equal(node))

		encoded, err = encoder.Assignment(assignment)
		Expect(err).NotTo(HaveOccurred())
		golden("stored.txtar", "assignment.json", encoded)
		Expect(encoder.ReadAssignment(row(encoded))).To(Equal(assignment))

		encoded, err = encoder.ShardRow(shardRow)
		Expect(err).NotTo(HaveOccurred())
		golden("stored.txtar", "shard.json", encoded)
		Expect(encoder.ReadShardRow(row(encoded))).To(Equal(shardRow))
	})
})

var _ = Describe("strict decoding", func() {
	// Guards against a segment that is applied in part because a newer process
	// wrote records that this one does not know.
	DescribeTable("refuses segments that are not fully understood",
		func(data string) {
			_, err := encoder.ReadSegment([]byte(data))
			Expect(err).To(HaveOccurred())
		},
		Entry("unknown tag", `{"entries":[{"shard":0,"epoch":1,"type":"moved","record":{"program":"p"}}]}`),
		Entry("unknown key", `{"entries":[{"shard":0,"epoch":1,"type":"ended","record":{"program":"p","reason":"","x":1}}]}`),
		Entry("no program", `{"entries":[{"shard":0,"epoch":1,"type":"ended","record":{"reason":""}}]}`),
		Entry("null record", `{"entries":[{"shard":0,"epoch":1,"type":"ended","record":null}]}`),
		Entry("no record", `{"entries":[{"shard":0,"epoch":1,"type":"ended"}]}`),
		Entry("negative shard", `{"entries":[{"shard":-1,"epoch":1,"type":"ended","record":{"program":"p","reason":""}}]}`),
		Entry("two values", `{"entries":[]}{}`),
		Entry("cut off", `{"entries":[`),
		Entry("no entries", `{}`),
		Entry("null", `null`),
		Entry("empty", ``),
	)

	// Guards against nil states and nil maps, on which applying a record panics.
	It("refuses or repairs states that records can't be applied to", func() {
		_, err := encoder.ReadCheckpoint([]byte(`{"programs":{"p":null}}`))
		Expect(err).To(HaveOccurred())
		_, err = encoder.ReadCheckpoint([]byte(`{"programs":{"p":{"id":"q"}}}`))
		Expect(err).To(HaveOccurred())
		set, err := encoder.ReadCheckpoint([]byte(`{"programs":{"p":{"id":"p"}}}`))
		Expect(err).NotTo(HaveOccurred())
		for _, e := range entries {
			set.Apply(e.Record)
		}
		Expect(set["p"].Turns).To(HaveLen(1))
	})

	// Guards against a history that is stored otherwise than it was.
	It("refuses to encode text that JSON would change", func() {
		broken := []message.Entry{{Record: record.Ended{Program: "p", Reason: "a\xffb"}}}
		_, err := encoder.Segment(broken)
		Expect(err).To(HaveOccurred())
		_, err = encoder.Checkpoint(program.Set{"p": {ID: "p", Residents: map[ident.UpstreamID]unit.Tokens{"\xff": 1}}})
		Expect(err).To(HaveOccurred())
		for _, kept := range []string{"\ufffd", `\ufffd`, `\\ufffd`, "\\\ufffd"} {
			whole := []message.Entry{{Record: record.Ended{Program: "p", Reason: kept}}}
			encoded, err := encoder.Segment(whole)
			Expect(err).NotTo(HaveOccurred())
			Expect(encoder.ReadSegment(encoded)).To(Equal(whole))
		}
	})

	// Guards against a node row whose state no rule covers.
	It("refuses rows with unknown states or without a VM", func() {
		_, err := encoder.ReadNode(row([]byte(`{"vm":"vm-1","state":"asleep"}`)))
		Expect(err).To(HaveOccurred())
		_, err = encoder.ReadNode(row([]byte(`{"state":"live"}`)))
		Expect(err).To(HaveOccurred())
		_, err = encoder.ReadAssignment(row([]byte(`null`)))
		Expect(err).To(HaveOccurred())
		_, err = encoder.ReadShardRow(row([]byte(`{"shard":-1}`)))
		Expect(err).To(HaveOccurred())
	})
})
