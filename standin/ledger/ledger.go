// Package ledger is an in-memory stand-in for the platform's store of topics with keyed records. It speaks the platform's HTTP API.
package ledger

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

type record struct {
	key   string
	value []byte
}

type topic struct {
	firstOffset int64
	records     []record
}

// TopicStore holds the topics in memory and serves them over HTTP. Every HTTP
// request fails with status 503 while Down is set. It is safe for concurrent use.
type TopicStore struct {
	Down atomic.Bool

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

// New returns an empty store.
func New() *TopicStore {
	return &TopicStore{topics: map[string]*topic{}, changed: make(chan struct{})}
}

func (s *TopicStore) topic(name string) *topic {
	t, known := s.topics[name]
	if !known {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// Put appends a record, as an operator or a worker would. An empty value deletes the key.
func (s *TopicStore) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history of a topic: reads below the current end fail with
// status 410. The newest record of each key remains available.
func (s *TopicStore) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset = int64(len(t.records))
}

// ServeHTTP handles a request for a topic.
func (s *TopicStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, name)
	case "/log-newest":
		s.serveNewest(w, name)
	case "/log-read":
		s.serveRead(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *TopicStore) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body := data[4 : 4+binary.BigEndian.Uint32(data)]
	keyEnd := 1 + int(body[0])
	s.Put(name, string(body[1:keyEnd]), body[keyEnd:])
	_, _ = io.WriteString(w, "{}")
}

func (s *TopicStore) serveNewest(w http.ResponseWriter, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	newest := map[string]item{}
	for i, rec := range t.records {
		newest[rec.key] = item{rec.key, base64.StdEncoding.EncodeToString(rec.value), int64(i)}
		if len(rec.value) == 0 {
			delete(newest, rec.key)
		}
	}
	nextOffset := len(t.records)
	s.mu.Unlock()
	items := []item{}
	for _, i := range newest {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	data, _ := json.Marshal(map[string]any{"items": items, "has-more": false, "end": nextOffset})
	_, _ = w.Write(data)
}

func (s *TopicStore) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		if from < t.firstOffset {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first-offset":`+strconv.FormatInt(t.firstOffset, 10)+`}`)
			return
		}
		records := t.records[min(from, int64(len(t.records))):]
		data := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		data = binary.BigEndian.AppendUint64(data, uint64(t.firstOffset))
		for _, rec := range records {
			data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
			data = append(append(append(data, byte(len(rec.key))), rec.key...), rec.value...)
		}
		s.mu.Unlock()
		if len(records) > 0 {
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_, _ = w.Write(data)
			return
		case <-r.Context().Done():
			return
		}
	}
}
