package lister_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/platform/lister"
)

func TestLister(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lister")
}

func list(handler http.HandlerFunc) ([]message.UpstreamState, error) {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return lister.New(lister.WithEndpoint(server.URL), lister.WithTimeout(100*time.Millisecond)).List(context.Background())
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/v1/vms" {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

var _ = Describe("Lister", func() {
	// Guards against a leaving upstream being taken for a live one.
	It("reads addresses and states", func() {
		states, err := list(answer(200, `{"vms":[{"address":"127.0.0.1:9000","state":"live"},{"address":"127.0.0.1:9001","state":"leaving"}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(states).To(Equal([]message.UpstreamState{{Address: "127.0.0.1:9000"}, {Address: "127.0.0.1:9001", Leaving: true}}))
	})

	// Guards against a failed read that looks like an empty list, by which all
	// upstreams would be gone.
	DescribeTable("reports a list that it can't read",
		func(handler http.HandlerFunc) {
			states, err := list(handler)
			Expect(err).To(HaveOccurred())
			Expect(states).To(BeNil())
		},
		Entry("outage", answer(500, `{"vms":[]}`)),
		Entry("no list", answer(200, `{}`)),
		Entry("unknown state", answer(200, `{"vms":[{"address":"127.0.0.1:9000","state":"starting"}]}`)),
		Entry("cut off", answer(200, `{"vms":[{"address":"127.0`)),
		Entry("silent", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })),
	)
})
