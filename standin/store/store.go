// Package store is an in-memory stand-in for the platform: append-only logs with
// retention, a VM list that readers see with a delay, and injected faults.
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

// Faults selects the injected faults.
type Faults struct {
	Outage      bool          `json:"outage"`      // Append, Read, AddVM and VMChanges fail without effect
	LostReplies int           `json:"lostreplies"` // number of following appends that take effect but report a failure
	AppendDelay time.Duration `json:"slow"`        // added to the duration of every append
}

// Options configures a store.
type Options struct {
	Retention  time.Duration // records older than this are discarded; 0 keeps all
	AppendRate float64       // maximum appends per second over all streams; 0 means no limit
	SyncTime   time.Duration // duration of an append
	VMListLag  time.Duration // age of the VM list that VMChanges returns
	Now        func() time.Time
}

// FaultError is returned by a call that failed because of an injected fault.
// Uncertain means that the call may have taken effect.
type FaultError struct {
	Fault     string
	Uncertain bool
}

// Error returns a message that contains the fault.
func (e *FaultError) Error() string { return "platform stand-in: " + e.Fault }

type storedRecord struct {
	record     platform.Record
	appendedAt time.Time
}

type stream struct {
	firstOffset int64
	records     []storedRecord
	appended    chan struct{}
}

// vmList is a version of the VM list and the time from which it is the current one.
type vmList struct {
	version   int64
	validFrom time.Time
	vms       map[string]platform.VM
}

// maxVMLists limits the versions of the VM list that are kept. A client whose
// version is no longer kept gets the full list.
const maxVMLists = 256

// Store holds the logs and the VM list in memory. It is safe for concurrent use.
type Store struct {
	options Options

	mu            sync.Mutex
	streams       map[string]*stream
	vms           map[string]platform.VM
	vmLists       []vmList
	vmListVersion int64
	faults        Faults
	nextAppendAt  time.Time
	appendCount   int64
}

// New returns an empty store.
func New(options Options) *Store {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Store{options: options, streams: map[string]*stream{}, vms: map[string]platform.VM{}}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// AppendCount returns the number of appends that took effect.
func (s *Store) AppendCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendCount
}

// Log returns a platform.Log of a stream that calls the store directly, without HTTP.
func (s *Store) Log(name string) platform.Log {
	return platform.Log{
		Append: func(ctx context.Context, data []byte) (int64, error) {
			offset, err := s.Append(ctx, name, data)
			return offset, toPlatformError("append", err)
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (platform.Page, error) {
			page, err := s.Read(ctx, name, from, wait)
			if err != nil {
				return page, toPlatformError("read", err)
			}
			if from < page.FirstOffset {
				return page, &platform.TruncatedError{Topic: name, Offset: from, FirstOffset: page.FirstOffset}
			}
			return page, nil
		},
	}
}

func toPlatformError(call string, err error) error {
	if err == nil {
		return nil
	}
	fault, _ := err.(*FaultError)
	return &platform.Error{Call: call, Uncertain: fault != nil && fault.Uncertain, Cause: err}
}

// Append adds a record to a stream and returns its offset.
func (s *Store) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := s.waitToAppend(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return 0, &FaultError{Fault: "outage"}
	}
	offset := s.appendRecord(name, data)
	if s.faults.LostReplies > 0 {
		s.faults.LostReplies--
		return 0, &FaultError{Fault: "reply lost after the append took effect", Uncertain: true}
	}
	return offset, nil
}

func (s *Store) appendRecord(name string, data []byte) int64 {
	st := s.stream(name)
	now := s.options.Now()
	s.dropExpired(st, now)
	offset := st.firstOffset + int64(len(st.records))
	stored := append([]byte(nil), data...)
	st.records = append(st.records, storedRecord{record: platform.Record{Offset: offset, Data: stored}, appendedAt: now})
	close(st.appended)
	st.appended = make(chan struct{})
	s.appendCount++
	return offset
}

// waitToAppend delays an append by its sync time, the injected delay and the rate limit.
func (s *Store) waitToAppend(ctx context.Context) error {
	s.mu.Lock()
	now := s.options.Now()
	until := now.Add(s.options.SyncTime + s.faults.AppendDelay)
	if s.options.AppendRate > 0 {
		if s.nextAppendAt.Before(now) {
			s.nextAppendAt = now
		}
		s.nextAppendAt = s.nextAppendAt.Add(time.Duration(float64(time.Second) / s.options.AppendRate))
		if s.nextAppendAt.After(until) {
			until = s.nextAppendAt
		}
	}
	s.mu.Unlock()
	wait.For(ctx, until.Sub(now))
	return ctx.Err()
}

func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Store) dropExpired(st *stream, now time.Time) {
	if s.options.Retention == 0 {
		return
	}
	oldest := now.Add(-s.options.Retention)
	expired := sort.Search(len(st.records), func(i int) bool { return st.records[i].appendedAt.After(oldest) })
	st.records = append([]storedRecord(nil), st.records[expired:]...)
	st.firstOffset += int64(expired)
}

// Read returns the records from an offset on and waits up to the given time for
// the first. It returns none at once if the offset is below the first stored one.
func (s *Store) Read(ctx context.Context, name string, from int64, wait time.Duration) (platform.Page, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, appended, err := s.readPage(name, from)
		if err != nil || len(page.Records) > 0 || from < page.FirstOffset || wait <= 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-deadline.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (s *Store) readPage(name string, from int64) (platform.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return platform.Page{}, nil, &FaultError{Fault: "outage"}
	}
	st := s.stream(name)
	s.dropExpired(st, s.options.Now())
	page := platform.Page{FirstOffset: st.firstOffset, NextOffset: st.firstOffset + int64(len(st.records))}
	if from < st.firstOffset || from >= page.NextOffset {
		return page, st.appended, nil
	}
	for _, e := range st.records[from-st.firstOffset:] {
		page.Records = append(page.Records, e.record)
	}
	return page, st.appended, nil
}

// AddVM adds or replaces a VM in the list. During an outage it returns a *FaultError.
func (s *Store) AddVM(vm platform.VM) error {
	s.mu.Lock()
	down := s.faults.Outage
	s.mu.Unlock()
	if down {
		return &FaultError{Fault: "outage"}
	}
	s.updateVMs(func() { s.vms[vm.ID] = vm })
	return nil
}

// RemoveVM removes a VM from the list, also during an outage.
func (s *Store) RemoveVM(id string) {
	s.updateVMs(func() { delete(s.vms, id) })
}

func (s *Store) updateVMs(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	s.vmListVersion++
	s.vmLists = append(s.vmLists, vmList{version: s.vmListVersion, validFrom: s.options.Now(), vms: maps.Clone(s.vms)})
	if len(s.vmLists) > maxVMLists {
		s.vmLists = s.vmLists[1:]
	}
}

// VMChanges returns what changed between version since and the list as it was
// VMListLag ago: all entries and the other VMs of the given availability zone.
func (s *Store) VMChanges(zone string, since int64) (platform.VMChanges, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return platform.VMChanges{}, &FaultError{Fault: "outage"}
	}
	visibleAt := s.options.Now().Add(-s.options.VMListLag)
	var current, previous vmList
	for _, l := range s.vmLists {
		if !l.validFrom.After(visibleAt) {
			current = l
		}
		if l.version == since {
			previous = l
		}
	}
	changes := platform.VMChanges{Version: current.version, Full: previous.version == 0}
	for id, vm := range current.vms {
		if (vm.Role == "entry" || vm.Zone == zone) && previous.vms[id] != vm {
			changes.VMs = append(changes.VMs, vm)
		}
	}
	for id := range previous.vms {
		if _, ok := current.vms[id]; !ok {
			changes.Removed = append(changes.Removed, id)
		}
	}
	sort.Slice(changes.VMs, func(i, j int) bool { return changes.VMs[i].ID < changes.VMs[j].ID })
	return changes, nil
}

// String returns the number of appends, for log lines.
func (s *Store) String() string { return fmt.Sprintf("%d appends", s.AppendCount()) }
