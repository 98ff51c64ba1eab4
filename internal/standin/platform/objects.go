package platform

import (
	"bufio"
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
)

func writeObjectError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: code, Message: message})
}

// etagOf returns an entity tag. S3 does not promise that it is an MD5 sum.
func etagOf(body []byte) string {
	return fmt.Sprintf("\"%08x-%d\"", crc32.ChecksumIEEE(body), len(body))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	switch reply := p.runner.Ask(getObject{key: r.PathValue("key")}).(type) {
	case found:
		if reply.object == nil {
			writeObjectError(w, http.StatusNotFound, "NoSuchKey", "the object does not exist")
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.object.body)))
		w.Header().Set("ETag", etagOf(reply.object.body))
		w.Header().Set("Last-Modified", reply.object.modified.UTC().Format(http.TimeFormat))
		_, _ = w.Write(reply.object.body)
	default:
		writeObjectReply(w, reply, http.StatusOK)
	}
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := objectBody(r)
	if err != nil {
		writeObjectError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	reply := p.runner.Ask(putObject{
		key: r.PathValue("key"), body: body, create: r.Header.Get("If-None-Match") == "*",
	})
	if _, ok := reply.(done); ok {
		w.Header().Set("ETag", etagOf(body))
	}
	writeObjectReply(w, reply, http.StatusOK)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	writeObjectReply(w, p.runner.Ask(deleteObject{key: r.PathValue("key")}), http.StatusNoContent)
}

func writeObjectReply(w http.ResponseWriter, reply reply, status int) {
	switch reply.(type) {
	case done:
		w.WriteHeader(status)
	case throttled:
		writeObjectError(w, http.StatusServiceUnavailable, "SlowDown", "the rate is too high")
	case existing:
		writeObjectError(w, http.StatusPreconditionFailed, "PreconditionFailed", "the object exists")
	default:
		panic(http.ErrAbortHandler)
	}
}

// objectBody reads a body that is plain or in aws-chunked encoding, which
// clients use for bodies with trailing checksums. Signatures and checksums are
// not verified.
func objectBody(r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || !strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING-") {
		return raw, err
	}
	reader := bufio.NewReader(bytes.NewReader(raw))
	var body []byte
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		length, _, _ := strings.Cut(strings.TrimSpace(line), ";")
		size, err := strconv.ParseInt(length, 16, 32)
		if err != nil || size < 0 || size > int64(len(raw)) {
			return nil, errors.New("a chunk has no valid length")
		}
		if size == 0 {
			return body, nil
		}
		chunk := make([]byte, size+2)
		if _, err := io.ReadFull(reader, chunk); err != nil {
			return nil, err
		}
		body = append(body, chunk[:size]...)
	}
}
