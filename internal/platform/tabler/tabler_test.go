package tabler_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/platform/tabler"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
)

const timeout = 200 * time.Millisecond

func TestTabler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tabler")
}

func node(expect ident.Version, id ident.WriteID) table.Write {
	return table.Write{Kind: table.NodeKind, Key: "0", Expect: expect, WriteID: id, Body: []byte(`{"n":1}`)}
}

var _ = Describe("Tabler", func() {
	var (
		ctx    context.Context
		server *fake
		client *tabler.Tabler
	)

	BeforeEach(func() {
		ctx = context.Background()
		server = newFake()
		DeferCleanup(server.stop)
		client = tabler.New(tabler.WithEndpoint(server.URL), tabler.WithCredentials("key", "secret"), tabler.WithTimeout(timeout))
	})

	// Guards against rows that are read otherwise than they were written.
	It("reads what it wrote", func() {
		_, found, err := client.Get(ctx, table.NodeKind, "0")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Committed))
		Expect(client.Commit(ctx, []table.Write{node(1, "b")})).To(Equal(message.Committed))
		row, found, err := client.Get(ctx, table.NodeKind, "0")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(row).To(Equal(table.Row{Kind: "node", Key: "0", Version: 2, WriteID: "b", Body: []byte(`{"n":1}`)}))
	})

	// Guards against a list that ends with the first page.
	It("lists all pages of a kind", func() {
		server.pageSize = 3
		var writes []table.Write
		for n := range 7 {
			writes = append(writes, table.Write{Kind: table.ShardKind, Key: strconv.Itoa(n), WriteID: "a", Body: []byte("{}")})
		}
		Expect(client.Commit(ctx, append(writes, node(0, "a")))).To(Equal(message.Committed))
		rows, err := client.List(ctx, table.ShardKind)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(7))
		Expect(rows[6].Key).To(Equal("6"))
	})

	// Guards against a write that took effect and is reported as something else
	// because its answer was lost.
	It("recognizes its own write after a lost answer", func() {
		server.loseAnswers.Store(1)
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Committed))
	})

	// Guards against an implicit repeat by the SDK, which would hide the fault.
	It("sends a write once", func() {
		server.dropWrites.Store(1)
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Uncertain))
		Expect(server.transactions.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a fence that is reported for a repeated write whose first
	// sending took effect.
	It("recognizes its own write after a failed condition", func() {
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Committed))
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Committed))
	})

	// Guards against a retry of a write that another one has overtaken.
	It("reports a conflict if another write came first", func() {
		Expect(client.Commit(ctx, []table.Write{node(0, "other")})).To(Equal(message.Committed))
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Conflict))
	})

	// Guards against a fence being missed when the answer is lost as well.
	It("reports a conflict if another write came first and the answer was lost", func() {
		Expect(client.Commit(ctx, []table.Write{node(0, "other")})).To(Equal(message.Committed))
		server.dropWrites.Store(1)
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Conflict))
	})

	// Guards against a failed condition of a later row being taken for a lost
	// answer: the first row still has its old version then.
	It("reports a conflict if only a later row conflicts", func() {
		other := table.Write{Kind: table.AssignmentKind, Key: "0", WriteID: "other", Body: []byte("{}")}
		Expect(client.Commit(ctx, []table.Write{other})).To(Equal(message.Committed))
		mine := other
		mine.WriteID = "a"
		Expect(client.Commit(ctx, []table.Write{node(0, "a"), mine})).To(Equal(message.Conflict))
		_, found, err := client.Get(ctx, table.NodeKind, "0")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
	})

	// Guards against a node that fences itself because the platform is slow.
	DescribeTable("reports uncertainty, not a conflict",
		func(fault func(f *fake)) {
			Expect(client.Commit(ctx, []table.Write{node(0, "before")})).To(Equal(message.Committed))
			fault(server)
			Expect(client.Commit(ctx, []table.Write{node(1, "a")})).To(Equal(message.Uncertain))
		},
		Entry("after a lost request", func(f *fake) { f.dropWrites.Store(1) }),
		Entry("when throttled", func(f *fake) { f.throttleWrites.Store(1) }),
		Entry("after a lost answer and a failed read-back", func(f *fake) {
			f.loseAnswers.Store(1)
			f.failReads.Store(1)
		}),
	)

	// Guards against a conflict of an unreadable row: a failed read-back says
	// nothing about whose write the condition failed on.
	It("reports uncertainty if a failed condition can't be read back", func() {
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Committed))
		server.failReads.Store(1)
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Uncertain))
	})

	// Guards against transactions that the table refuses for their size being
	// sent for ever.
	It("does not send more writes than a transaction can hold", func() {
		writes := make([]table.Write, 101)
		for n := range writes {
			writes[n] = table.Write{Kind: table.ShardKind, Key: fmt.Sprint(n), WriteID: "a"}
		}
		Expect(client.Commit(ctx, writes)).To(Equal(message.Conflict))
		Expect(server.transactions.Load()).To(BeZero())
	})

	// Guards against a silent connection being used again after a time-out, and
	// against a new connection for each request.
	It("keeps connections and drops them after a time-out", func() {
		for range 3 {
			_, _, err := client.Get(ctx, table.NodeKind, "0")
			Expect(err).NotTo(HaveOccurred())
		}
		seen := server.seen()
		Expect(seen[1]).To(Equal(seen[0]))
		Expect(seen[2]).To(Equal(seen[0]))
		server.dropWrites.Store(1)
		start := time.Now()
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Uncertain))
		Expect(time.Since(start)).To(BeNumerically("<", 10*timeout))
		seen = server.seen()
		Expect(seen[len(seen)-1]).NotTo(Equal(seen[0]))
	})

	// Guards against the use of other idle connections after a time-out, which
	// probably lead to the same silent peer.
	It("drops all idle connections after a time-out", func() {
		server.gate = make(chan struct{})
		read := make(chan error, 2)
		for range 2 {
			go func() {
				_, _, err := client.Get(ctx, table.NodeKind, "0")
				read <- err
			}()
		}
		Eventually(server.seen).Should(HaveLen(2))
		close(server.gate)
		Eventually(read).Should(Receive(BeNil()))
		Eventually(read).Should(Receive(BeNil()))
		server.dropWrites.Store(1)
		Expect(client.Commit(ctx, []table.Write{node(0, "a")})).To(Equal(message.Uncertain))
		seen := server.seen()
		Expect(seen).To(HaveLen(4))
		Expect(seen[:3]).NotTo(ContainElement(seen[3]))
	})
})
