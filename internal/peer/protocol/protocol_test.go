package protocol_test

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/news"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const archive = "testdata/messages.txtar"

var update = flag.Bool("update", false, "write golden files")

func TestProtocol(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "protocol")
}

var (
	who    = chain.Account{ID: "a", Team: "t", Role: chain.Operator}
	answer = record.Answer{Body: "b", Failed: true, Usage: record.Usage{Calls: 1, PromptTokens: 2, CachedTokens: 3, OutputTokens: 4}}
	budget = record.Budget{Calls: 1, Tokens: 2, Expires: time.Date(2026, 5, 6, 7, 8, 9, 0, time.UTC)}
	state  = program.State{
		ID: "p", Team: "t", Class: "c", Budget: budget, Turns: []program.Turn{{Call: "c1", Position: 1, Attempt: 1, Answer: answer}},
		Calls:     map[ident.CallID]program.Call{"c1": {Position: 1, Status: program.Done, Attempt: 1}},
		Residents: map[ident.UpstreamID]unit.Tokens{"u": 3},
	}

	requests = []request.Request{
		request.Open{Program: "p", Class: "c", Budget: budget},
		request.OpenChild{Parent: "p", Child: "p.1"},
		request.Call{Program: "p", Request: record.Request{
			Call: "c1", Position: 2, Pool: "pool", Operation: "o", Body: "body", MaxTokens: 3,
		}},
		request.End{Program: "p"},
		request.Show{Program: "p"},
		request.Resolve{Program: "p", Call: "c1", Ran: true, Answer: "x", Plan: "plan"},
	}
	replies = []outcome.Outcome{
		outcome.Opened{Program: "p"},
		outcome.Ended{Program: "p"},
		outcome.Shown{View: program.View{State: state, Root: state, Running: true}},
		outcome.Durable{},
	}
)

// golden appends pretty-printed JSON to what the archive must hold.
func golden(a *txtar.Archive, name string, v any) []byte {
	GinkgoHelper()
	encoded, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	var pretty bytes.Buffer
	Expect(json.Indent(&pretty, encoded, "", "  ")).To(Succeed())
	pretty.WriteByte('\n')
	a.Files = append(a.Files, txtar.File{Name: name, Data: pretty.Bytes()})
	return encoded
}

var _ = Describe("the messages", func() {
	// Guards against a changed format, by which entry VMs of two releases
	// misunderstand each other, and against fields that are lost on the way.
	It("keep their format and their fields", func() {
		a := &txtar.Archive{}
		for _, r := range requests {
			method, body, err := protocol.Encode(&chain.Exchange{Account: who, Request: r})
			Expect(err).NotTo(HaveOccurred())
			raw := json.RawMessage(golden(a, method, body))
			Expect(protocol.Carries(method)).To(BeTrue())
			Expect(protocol.Decode(method, &raw)).To(Equal(&chain.Exchange{Forwarded: true, Account: who, Request: r}))
		}
		for _, reply := range replies {
			result, err := protocol.ReplyResult(reply)
			Expect(err).NotTo(HaveOccurred())
			var decoded protocol.Result
			Expect(json.Unmarshal(golden(a, "reply "+result.Reply.Type, result), &decoded)).To(Succeed())
			Expect(decoded.Outcome()).To(Equal(reply))
		}
		end := chain.End{Call: "c1", Attempt: 2, Chunks: 3, Answer: answer}
		var decoded protocol.Result
		Expect(json.Unmarshal(golden(a, "end", protocol.EndResult(end)), &decoded)).To(Succeed())
		marker, ok := decoded.EndMarker()
		Expect(ok).To(BeTrue())
		Expect(marker).To(Equal(end))

		err := &failure.Error{Kind: failure.Overloaded, NotRun: true, RetryAfter: 1500001, Message: "try later"}
		var response jsonrpc2.Error
		Expect(json.Unmarshal(golden(a, "error", protocol.EncodeError(err)), &response)).To(Succeed())
		known, ok := protocol.DecodeError(&response)
		Expect(ok).To(BeTrue())
		Expect(known).To(Equal(err))

		told := news.News{
			VM: "vm-1", Version: 3, Age: 1500001, Leaving: []ident.UpstreamID{"u"},
			Configuration: &configuration.Configuration{Version: 3, Plan: "plan", Teams: []configuration.Team{{ID: "t"}}},
		}
		var heard news.News
		Expect(json.Unmarshal(golden(a, "news", told), &heard)).To(Succeed())
		Expect(heard).To(Equal(told))

		if *update {
			Expect(os.WriteFile(archive, txtar.Format(a), 0o600)).To(Succeed())
		}
		want, readErr := os.ReadFile(archive)
		Expect(readErr).NotTo(HaveOccurred())
		Expect(string(txtar.Format(a))).To(Equal(string(want)))
	})

	// Guards against a request that is run although it was not understood.
	DescribeTable("are refused if they are not understood",
		func(method, params string) {
			raw := json.RawMessage(params)
			_, err := protocol.Decode(method, &raw)
			Expect(err).To(HaveOccurred())
		},
		Entry("unknown method", "program.fork", `{"request":{"program":"p"}}`),
		Entry("no program", "program.end", `{"request":{}}`),
		Entry("null request", "call.run", `{"request":null}`),
		Entry("no request", "call.run", `{}`),
		Entry("null", "call.run", `null`),
	)

	// Guards against a proof that works without the key, for the other side, or
	// on another connection.
	It("prove the key for one side of one connection", func() {
		key := []byte("key")
		hello := protocol.Hello{VM: "vm-1", Nonce: protocol.NewNonce()}
		reply := protocol.HelloReply{VM: "vm-2", Nonce: protocol.NewNonce()}
		proof := protocol.Prove(key, protocol.ServerSide, hello, reply)
		Expect(protocol.Proves(proof, key, protocol.ServerSide, hello, reply)).To(BeTrue())
		Expect(protocol.Proves(proof, key, protocol.DialerSide, hello, reply)).To(BeFalse())
		Expect(protocol.Proves(proof, []byte("other"), protocol.ServerSide, hello, reply)).To(BeFalse())
		Expect(protocol.Proves(protocol.Prove(nil, protocol.ServerSide, hello, reply), nil, protocol.ServerSide, hello, reply)).To(BeFalse())
		again := protocol.Hello{VM: "vm-1", Nonce: protocol.NewNonce()}
		Expect(protocol.Proves(proof, key, protocol.ServerSide, again, reply)).To(BeFalse())
		shifted := protocol.Hello{VM: "vm-1" + ident.VMID(hello.Nonce[:1]), Nonce: hello.Nonce[1:]}
		Expect(protocol.Proves(proof, key, protocol.ServerSide, shifted, reply)).To(BeFalse())
	})
})

var _ = Describe("the stream", func() {
	// Guards against a length by which a stranger, or a broken peer, makes this
	// process allocate memory, and against histories that are too long to send.
	DescribeTable("limits the length of messages",
		func(admitted bool, size int, accepted bool) {
			near, far := net.Pipe()
			DeferCleanup(near.Close)
			DeferCleanup(far.Close)
			stream := protocol.NewStream(near, time.Second, time.Now)
			if admitted {
				stream.Admit()
			}
			go func() {
				_, _ = far.Write(binary.AppendUvarint(nil, uint64(size)))
				if accepted {
					_, _ = far.Write(bytes.Repeat([]byte(" "), size-2))
					_, _ = far.Write([]byte("{}"))
				}
			}()
			var v struct{}
			err := stream.ReadObject(&v)
			if accepted {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(ContainSubstring("message of")))
			}
		},
		Entry("of strangers", false, 4<<10, true),
		Entry("of strangers that send more", false, 4<<10+1, false),
		Entry("of peers", true, 2<<20, true),
		Entry("of peers that send more", true, 32<<20+1, false),
	)

	// Guards against a writer that waits for ever on a peer that does not read.
	It("bounds a write", func() {
		near, far := net.Pipe()
		DeferCleanup(far.Close)
		DeferCleanup(near.Close)
		stream := protocol.NewStream(near, 20*time.Millisecond, time.Now)
		Expect(stream.WriteObject(struct{}{})).To(MatchError(os.ErrDeadlineExceeded))
		Expect(stream.Written()).To(BeZero())
	})
})

// Guards against messages that crash the process that receives them.
func FuzzDecode(f *testing.F) {
	for _, r := range requests {
		method, body, err := protocol.Encode(&chain.Exchange{Account: who, Request: r})
		if err != nil {
			f.Fatal(err)
		}
		raw, err := json.Marshal(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(method, raw)
	}
	f.Fuzz(func(t *testing.T, method string, data []byte) {
		raw := json.RawMessage(data)
		if x, err := protocol.Decode(method, &raw); err == nil && x.Request.Subject() == "" {
			t.Fatal("request without a program")
		}
		var result protocol.Result
		if protocol.Unmarshal(&raw, &result) == nil {
			_, _ = result.Outcome()
			_, _ = result.EndMarker()
		}
		_, _ = protocol.DecodeError(&jsonrpc2.Error{Code: -32000, Data: &raw})
	})
}
