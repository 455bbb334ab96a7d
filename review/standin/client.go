package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	jobHost, jobPrefix = "desk.example", "/jobs/"
	// resendDelay is the time between a lost answer and the next request for the same job.
	resendDelay = 1300 * time.Millisecond
	maxRequests = 3
)

// client sends the requests of callers.
type client struct {
	record *record
	http   *http.Client
}

func newClient(r *record) *client {
	return &client{record: r, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// request sends one request for a job and returns the status, 0 without a response, and the
// state in the response.
func (c *client) request(method string, entry *node, job, body string, deadline time.Duration) (int, string) {
	c.record.addf("client sends %s %s to %s", method, job, entry.name)
	status, state := c.send(method, entry, job, body, deadline)
	if status == 0 {
		c.record.addf("client has no response to %s %s from %s", method, job, entry.name)
	} else {
		c.record.addf("%s answers %s %s: %d %s", entry.name, method, job, status, state)
	}
	return status, state
}

func (c *client) send(method string, entry *node, job, body string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry.callers+jobPrefix+job, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = jobHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(wire.DeadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.http.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(content, &answer) // only some responses have a body
	return response.StatusCode, answer.State
}

// submit sends a job to one entry after the other: after no response, a 502 or a 504 the same
// job is sent again after resendDelay.
func (c *client) submit(entries []*node, job, body string, deadline time.Duration) {
	for i := range maxRequests {
		status, _ := c.request(http.MethodPost, entries[i%len(entries)], job, body, deadline)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendDelay)
	}
}
