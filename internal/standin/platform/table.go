package platform

import (
	"encoding/json"
	"errors"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/transactor"
)

const (
	targetPrefix = "DynamoDB_20120810."
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
	// operationLimit and itemLimit are DynamoDB's.
	operationLimit = 100
	itemLimit      = 400 << 10
)

func (p *Platform) serveTable(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var c command
	target := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	switch target {
	case "GetItem":
		c, err = decodeGet(raw)
	case "Query":
		c, err = decodeQuery(raw)
	case "TransactWriteItems":
		c, err = decodeTransact(raw)
	default:
		writeTableError(w, http.StatusBadRequest, "UnknownOperationException", "the operation is not served", nil)
		return
	}
	if err != nil {
		name := "ValidationException"
		if errors.Is(err, errNoTable) {
			name = "ResourceNotFoundException"
		}
		writeTableError(w, http.StatusBadRequest, name, err.Error(), nil)
		return
	}
	switch reply := p.runner.Ask(c).(type) {
	case items:
		writeItems(w, target, reply.items)
	case committed:
		if reply.lost {
			panic(http.ErrAbortHandler)
		}
		writeTable(w, http.StatusOK, map[string]any{})
	case cancelled:
		writeCancelled(w, c, reply)
	case throttled:
		writeTableError(w, http.StatusBadRequest, "ProvisionedThroughputExceededException", "the rate is too high", nil)
	default:
		panic(http.ErrAbortHandler)
	}
}

// writeTable writes a body with the checksum that clients verify.
func writeTable(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.Header().Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(raw)), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func writeTableError(w http.ResponseWriter, status int, name, message string, extra map[string]any) {
	body := map[string]any{"__type": errorPrefix + name, "message": message}
	for key, value := range extra {
		body[key] = value
	}
	writeTable(w, status, body)
}

func writeItems(w http.ResponseWriter, target string, rows []transactor.Item) {
	encoded := make([]map[string]attribute, 0, len(rows))
	for _, row := range rows {
		encoded = append(encoded, encodeItem(row))
	}
	if target == "Query" {
		writeTable(w, http.StatusOK, map[string]any{
			"Items": encoded, "Count": len(encoded), "ScannedCount": len(encoded),
		})
		return
	}
	body := map[string]any{}
	if len(encoded) > 0 {
		body["Item"] = encoded[0]
	}
	writeTable(w, http.StatusOK, body)
}

func writeCancelled(w http.ResponseWriter, c command, reply cancelled) {
	request, _ := c.(transact)
	reasons := make([]map[string]any, len(reply.rows))
	codes := make([]string, len(reply.rows))
	for i := range reasons {
		codes[i] = "None"
		reasons[i] = map[string]any{"Code": codes[i]}
	}
	for _, i := range reply.failed {
		codes[i] = "ConditionalCheckFailed"
		reasons[i] = map[string]any{"Code": codes[i], "Message": "The conditional request failed"}
		if request.returnOld[i] && reply.rows[i] != nil {
			reasons[i]["Item"] = encodeItem(reply.rows[i])
		}
	}
	message := "Transaction cancelled, please refer cancellation reasons for specific reasons [" + strings.Join(codes, ", ") + "]"
	writeTableError(w, http.StatusBadRequest, "TransactionCanceledException", message,
		map[string]any{"CancellationReasons": reasons})
}
