package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
)

// host is the name under which clients reach the routes, apiKey the key of their tenant.
const (
	host   = "ficu95.example"
	apiKey = "asnmgkcuyj8pjbvk9m68"
)

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID(what string) string { return fmt.Sprintf("%s-%05d", what, lastID.Add(1)) }

// resolve asks a router where to go, and returns one of the addresses.
func resolve(lookup, zone string) (string, error) {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + lookup + pathLookup + "?name=" + host + "&region=karaganda&zone=" + zone)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	var a struct {
		Addrs []string `json:"addrs"`
	}
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
		return "", err
	}
	if len(a.Addrs) == 0 {
		return "", errors.New("no addresses")
	}
	return a.Addrs[rand.IntN(len(a.Addrs))], nil
}

// channel is a client's channel to a router.
type channel struct {
	net.Conn
	reader *bufio.Reader
	// answered is the number of requests that were answered on it.
	answered int
}

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, reader: bufio.NewReader(c)}, nil
}

// head returns the head of a request.
func head(method, path, id string, timeout time.Duration, length int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, headerID, id, headerDeadline, timeout.Milliseconds(), apiKey)
	if length > 0 || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	return b.String() + "\r\n"
}

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   string
	// last is set if the router closes the channel after the answer.
	last bool
}

// read reads an answer.
func (c *channel) read(method string) (answer, error) {
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}, err
	}
	c.answered++
	return answer{res.StatusCode, res.Header, string(text), res.Close}, nil
}

// exchange sends a request and reads its answer.
func (c *channel) exchange(method, path, id string, timeout time.Duration, body []byte) (answer, error) {
	if err := c.SetDeadline(clock.Deadline(timeout + time.Second)); err != nil {
		return answer{}, err
	}
	if _, err := c.Write(append([]byte(head(method, path, id, timeout, len(body))), body...)); err != nil {
		return answer{}, err
	}
	return c.read(method)
}

// order sends one request after the other on a kept channel, until it breaks or end.
func (f *fleet) order(r *router, path string, end time.Time, timeout, pause time.Duration, got func(string, answer)) {
	c, err := dial(r.front)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	for clock.Now().Before(end) {
		id := newID("order")
		f.record.note("send     %s to %s", id, r.name)
		a, err := c.exchange(http.MethodPost, path, id, timeout, []byte("order"))
		if err != nil {
			f.record.note("cut      %s: %v", id, err)
			return
		}
		got(id, a)
		time.Sleep(pause)
		if a.last {
			return
		}
	}
}
