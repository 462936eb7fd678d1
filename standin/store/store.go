// Package store is a small stand-in for the platform: an append-only log with retention, a lagging VM list and switchable faults.
package store

import (
	"context"
	"fmt"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/platform"
)

// Faults are the failures that can be switched on.
type Faults struct {
	Outage      bool          `json:"outage"`      // every call fails without effect
	LostReplies int           `json:"lostreplies"` // so many appends take effect, then fail
	Slow        time.Duration `json:"slow"`        // added to every append
}

// Options of a store.
type Options struct {
	Retention time.Duration // records older than this are dropped; 0 keeps all
	Rate      float64       // appends a second over all streams; 0 for no limit
	Sync      time.Duration // time one append takes
	Lag       time.Duration // age of the VM list that readers see
	Now       func() time.Time
}

// FaultError is a call that failed because of a switched fault.
type FaultError struct {
	Fault     string
	Uncertain bool
}

// Error names the fault.
func (e *FaultError) Error() string { return "platform stand-in: " + e.Fault }

type entry struct {
	record platform.Record
	at     time.Time
}

type stream struct {
	floor   int64
	entries []entry
	grown   chan struct{}
}

// listing is the list of VMs as it was from a time on.
type listing struct {
	version int64
	at      time.Time
	vms     map[string]platform.VM
}

// maxHistory bounds the old lists against which changes can be told.
const maxHistory = 256

// Store keeps everything in memory and is safe for concurrent use.
type Store struct {
	options Options

	mu       sync.Mutex
	streams  map[string]*stream
	vms      map[string]platform.VM
	history  []listing
	version  int64
	faults   Faults
	nextFree time.Time
	appends  int64
}

// New makes an empty store.
func New(options Options) *Store {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Store{options: options, streams: map[string]*stream{}, vms: map[string]platform.VM{}}
}

// Set switches the faults.
func (s *Store) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Appends counts the appends that took effect.
func (s *Store) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Log gives one stream without the network between.
func (s *Store) Log(name string) platform.Log {
	return platform.Log{
		Append: func(ctx context.Context, data []byte) (int64, error) {
			offset, err := s.Append(ctx, name, data)
			return offset, asPlatform("append", err)
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (platform.Page, error) {
			page, err := s.Read(ctx, name, from, wait)
			if err != nil {
				return page, asPlatform("read", err)
			}
			if from < page.FirstOffset {
				return page, &platform.TruncatedError{Topic: name, Offset: from, FirstOffset: page.FirstOffset}
			}
			return page, nil
		},
	}
}

func asPlatform(call string, err error) error {
	if err == nil {
		return nil
	}
	fault, _ := err.(*FaultError)
	return &platform.Error{Call: call, Uncertain: fault != nil && fault.Uncertain, Cause: err}
}

// Append adds a record and gives its offset.
func (s *Store) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := s.pause(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return 0, &FaultError{Fault: "outage"}
	}
	offset := s.add(name, data)
	if s.faults.LostReplies > 0 {
		s.faults.LostReplies--
		return 0, &FaultError{Fault: "reply lost after the append took effect", Uncertain: true}
	}
	return offset, nil
}

func (s *Store) add(name string, data []byte) int64 {
	st := s.stream(name)
	now := s.options.Now()
	s.expire(st, now)
	offset := st.floor + int64(len(st.entries))
	kept := append([]byte(nil), data...)
	st.entries = append(st.entries, entry{record: platform.Record{Offset: offset, Data: kept}, at: now})
	close(st.grown)
	st.grown = make(chan struct{})
	s.appends++
	return offset
}

// pause holds an append for its sync time and the rate limit.
func (s *Store) pause(ctx context.Context) error {
	s.mu.Lock()
	now := s.options.Now()
	until := now.Add(s.options.Sync + s.faults.Slow)
	if s.options.Rate > 0 {
		if s.nextFree.Before(now) {
			s.nextFree = now
		}
		s.nextFree = s.nextFree.Add(time.Duration(float64(time.Second) / s.options.Rate))
		if s.nextFree.After(until) {
			until = s.nextFree
		}
	}
	s.mu.Unlock()
	wait.For(ctx, until.Sub(now))
	return ctx.Err()
}

func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Store) expire(st *stream, now time.Time) {
	if s.options.Retention == 0 {
		return
	}
	oldest := now.Add(-s.options.Retention)
	gone := sort.Search(len(st.entries), func(i int) bool { return st.entries[i].at.After(oldest) })
	st.entries = append([]entry(nil), st.entries[gone:]...)
	st.floor += int64(gone)
}

// Read gives the records from an offset on; below the floor it gives none.
func (s *Store) Read(ctx context.Context, name string, from int64, wait time.Duration) (platform.Page, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, grown, err := s.page(name, from)
		if err != nil || len(page.Records) > 0 || from < page.FirstOffset || wait <= 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-deadline.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (s *Store) page(name string, from int64) (platform.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return platform.Page{}, nil, &FaultError{Fault: "outage"}
	}
	st := s.stream(name)
	s.expire(st, s.options.Now())
	page := platform.Page{FirstOffset: st.floor, NextOffset: st.floor + int64(len(st.entries))}
	if from < st.floor || from >= page.NextOffset {
		return page, st.grown, nil
	}
	for _, e := range st.entries[from-st.floor:] {
		page.Records = append(page.Records, e.record)
	}
	return page, st.grown, nil
}

// Announce puts a VM into the list. In an outage it gives a *FaultError.
func (s *Store) Announce(vm platform.VM) error {
	s.mu.Lock()
	down := s.faults.Outage
	s.mu.Unlock()
	if down {
		return &FaultError{Fault: "outage"}
	}
	s.change(func() { s.vms[vm.ID] = vm })
	return nil
}

// Remove takes a VM from the list.
func (s *Store) Remove(id string) {
	s.change(func() { delete(s.vms, id) })
}

func (s *Store) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	s.version++
	s.history = append(s.history, listing{version: s.version, at: s.options.Now(), vms: maps.Clone(s.vms)})
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
}

// VMs gives what changed in the list, as it was one lag ago, since a version.
func (s *Store) VMs(zone string, since int64) (platform.VMChanges, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return platform.VMChanges{}, &FaultError{Fault: "outage"}
	}
	seen := s.options.Now().Add(-s.options.Lag)
	var now, then listing
	for _, l := range s.history {
		if !l.at.After(seen) {
			now = l
		}
		if l.version == since {
			then = l
		}
	}
	list := platform.VMChanges{Version: now.version, Full: then.version == 0}
	for id, vm := range now.vms {
		if (vm.Role == "entry" || vm.Zone == zone) && then.vms[id] != vm {
			list.VMs = append(list.VMs, vm)
		}
	}
	for id := range then.vms {
		if _, ok := now.vms[id]; !ok {
			list.Removed = append(list.Removed, id)
		}
	}
	sort.Slice(list.VMs, func(i, j int) bool { return list.VMs[i].ID < list.VMs[j].ID })
	return list, nil
}

// String names the store's size for logs.
func (s *Store) String() string { return fmt.Sprintf("%d appends", s.Appends()) }
