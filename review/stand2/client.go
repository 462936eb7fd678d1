package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// reply is what a client has got for a call.
type reply struct {
	status int // 0 if the connection ended without an answer
	body   string
	err    error
	sentAt time.Time
	at     time.Time
}

func (r reply) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d %s", r.status, strings.TrimSpace(r.body))
}

// client opens a connection for each call, so that nothing is sent twice unasked.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a call of a client to an entry.
func (w *world) call(ctx context.Context, e *entry, method, id, body string, deadline time.Duration) reply {
	w.record.note("client sends %s %s%s to %s %s", method, prefix, id, e.name, body)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	r := reply{sentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+prefix+id, strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		r.status, r.body = response.StatusCode, string(data)
	}
	r.err, r.at = err, time.Now()
	w.record.note("%s %s%s at %s: %s", method, prefix, id, e.name, r)
	return r
}

// submit sends a job and returns a channel for the reply.
func (w *world) submit(ctx context.Context, e *entry, id, body string, deadline time.Duration) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- w.call(ctx, e, http.MethodPost, id, body, deadline) }()
	return replies
}

// job returns the body of a job with one step whose tasks work for a time.
func job(tasks, cpu int, lasts time.Duration) string {
	return fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":%d,"mem-mb":64,"est-runtime-ms":%d}],"best-effort":true}`,
		lasts.Milliseconds(), tasks, cpu, lasts.Milliseconds())
}

// twoSteps returns the body of a job of two steps, one after the other, each with one task that works for a time.
func twoSteps(cpu int, lasts time.Duration) string {
	step := fmt.Sprintf(`"count":1,"cpu":%d,"mem-mb":64,"est-runtime-ms":%d`, cpu, lasts.Milliseconds())
	return fmt.Sprintf(`{"spec":"%d","steps":[{%s},{%s,"after":[0]}],"best-effort":true}`, lasts.Milliseconds(), step, step)
}
