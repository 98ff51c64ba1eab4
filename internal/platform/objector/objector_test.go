package objector_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/platform/objector"
)

func TestObjector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "objector")
}

// fake is an object store that keeps the bytes of a request as they came.
type fake struct {
	mu      sync.Mutex
	objects map[string][]byte
	silent  atomic.Bool
	cutOff  atomic.Bool
	arrived atomic.Int64
	closing chan struct{}
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.arrived.Add(1)
	content, _ := io.ReadAll(r.Body)
	if f.silent.Load() {
		select {
		case <-r.Context().Done():
		case <-f.closing:
		}
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.Method {
	case http.MethodPut:
		f.objects[r.URL.Path] = content
	case http.MethodDelete:
		delete(f.objects, r.URL.Path)
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		object, ok := f.objects[r.URL.Path]
		if !ok {
			w.Header().Set("Content-Type", "application/xml")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, `<Error><Code>NoSuchKey</Code></Error>`)
			return
		}
		if f.cutOff.Load() {
			w.Header().Set("Content-Length", "1000000")
		}
		_, _ = w.Write(object)
	}
}

var _ = Describe("Objector", func() {
	var (
		ctx    context.Context
		store  *fake
		client *objector.Objector
	)

	BeforeEach(func() {
		ctx = context.Background()
		store = &fake{objects: map[string][]byte{}, closing: make(chan struct{})}
		server := httptest.NewServer(store)
		DeferCleanup(func() {
			close(store.closing)
			server.Close()
		})
		client = objector.New(objector.WithEndpoint(server.URL), objector.WithCredentials("key", "secret"),
			objector.WithTimeout(200*time.Millisecond))
	})

	// Guards against framing or checksums of the SDK inside of a stored segment.
	It("stores bytes as they are", func() {
		content := bytes.Repeat([]byte("segment\n"), 50_000)
		Expect(client.Put(ctx, "journal/vm-1/2/3", content)).To(Succeed())
		Expect(store.objects["/sassafrasspur/journal/vm-1/2/3"]).To(Equal(content))
		read, found, err := client.Get(ctx, "journal/vm-1/2/3")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(read).To(Equal(content))
		Expect(client.Delete(ctx, "journal/vm-1/2/3")).To(Succeed())
		_, found, err = client.Get(ctx, "journal/vm-1/2/3")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
	})

	// Guards against an unbounded wait and against repeats by the SDK.
	It("gives up on a silent store after one request", func() {
		store.silent.Store(true)
		start := time.Now()
		Expect(client.Put(ctx, "a", []byte("x"))).NotTo(Succeed())
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		Expect(store.arrived.Load()).To(BeEquivalentTo(1))
		_, found, err := client.Get(ctx, "a")
		Expect(err).To(HaveOccurred())
		Expect(found).To(BeFalse())
	})

	// Guards against a segment that is cut off and taken for whole.
	It("reports an object that breaks off", func() {
		Expect(client.Put(ctx, "a", []byte("x"))).To(Succeed())
		store.cutOff.Store(true)
		_, _, err := client.Get(ctx, "a")
		Expect(err).To(HaveOccurred())
	})
})
