package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// connectTimeout is how long callers wait for a new connection.
const connectTimeout = time.Second

// resolveAt asks one VM which addresses to use.
func (l *Lab) resolveAt(v *VM, zone string) []string {
	region := ""
	for _, z := range Zones {
		if z.Name == zone {
			region = z.Region
		}
	}
	query := url.Values{"name": {Host}, "zone": {zone}, "region": {region}}
	client := &http.Client{Timeout: connectTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.Directory + "/api/resolve?" + query.Encode())
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// Resolve returns the addresses for callers of a zone. It asks up to three VMs, the
// nearest first.
func (l *Lab) Resolve(zone string) []string {
	var near, far []*VM
	for _, v := range l.VMs {
		if v.Zone == zone {
			near = append(near, v)
		} else {
			far = append(far, v)
		}
	}
	for _, v := range append(near, far...)[:min(3, len(l.VMs))] {
		if addresses := l.resolveAt(v, zone); len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

// NameOf returns the name of the VM with an address for callers.
func (l *Lab) NameOf(address string) string {
	for _, v := range l.VMs {
		if v.Requests == address {
			return v.Name
		}
	}
	return address
}

// Request is one attempt of a caller.
type Request struct {
	Method, Path, Body string
	Header             map[string]string
	// TimeLimit is how long the caller waits.
	TimeLimit time.Duration
}

// Result is what the caller got. Status is 0 if it got no answer.
type Result struct {
	ID         string
	Status     int
	Header     http.Header
	Body       []byte
	Whole      bool
	Err        error
	RetryAfter time.Duration
	Took       time.Duration
	// LastEvent is the id of the last whole event of a stream.
	LastEvent int
}

// NewID returns an id for an attempt or a program.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Channel is a connection of a caller that is kept for many requests.
type Channel struct {
	Address string
	client  *http.Client
}

// NewChannel returns a channel to an address.
func NewChannel(address string) *Channel {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Channel{Address: address, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: 12 * time.Second,
	}}}
}

// Close closes the channel.
func (c *Channel) Close() { c.client.CloseIdleConnections() }

// Send sends one attempt and reads its answer.
func (c *Channel) Send(r Request) Result {
	result := Result{ID: NewID()}
	started := time.Now()
	defer func() { result.Took = time.Since(started) }()
	ctx, cancel := context.WithTimeout(context.Background(), r.TimeLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.Address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		result.Err = err
		return result
	}
	// Without it, net/http sends a request again if its connection was closed.
	request.GetBody = nil
	request.Host = Host
	request.Header.Set("X-Attempt-Id", result.ID)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.TimeLimit.Milliseconds(), 10))
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		result.Err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.Status, result.Header = response.StatusCode, response.Header
	result.Body, result.Err = io.ReadAll(response.Body)
	result.Whole = result.Err == nil
	result.LastEvent = lastEvent(result.Body)
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return result
}

// lastEvent returns the id of the last whole event of a stream, 0 if it has none.
func lastEvent(body []byte) int {
	last := 0
	end := bytes.LastIndex(body, []byte("\n\n"))
	if end < 0 {
		return 0
	}
	lines := bufio.NewScanner(bytes.NewReader(body[:end]))
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if n, err := strconv.Atoi(id); err == nil {
				last = n
			}
		}
	}
	return last
}
