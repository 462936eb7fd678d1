package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/radishgate/radishgate/standin/worker"
)

const (
	maxPublishMillis = 1500 // from a worker's start to its registration
	maxLingerMillis  = 1500 // from the end of a worker to that of its registration
	slowClockRate    = 0.98 // of the steady clock of a slow worker, which is the slowest that there is
	failChance       = 0.02 // probability that a run fails
)

// machine runs one worker after the other. The world's lock guards it.
type machine struct {
	index       int
	crashing    sync.Mutex     // held until the runs of a crashed worker have ended, so that the next one starts after that; not guarded by the world's lock
	worker      *worker.Worker // nil while it is down
	crashed     *worker.Worker // the last one that has crashed
	starts      int            // number of incarnations that have begun or are about to
	life        int            // number in the worker's ID; several incarnations may share it
	address     string
	clockRate   float64
	clockOffset time.Duration // error of the time of day
	registered  record        // as published; of an earlier incarnation until the present one has published its own
}

func (w *world) workerID(index, incarnation int) string {
	return fmt.Sprintf("%sw%d-%d", w.idPrefix, index, incarnation)
}

// workerName returns the name of a machine in the network and the log.
func workerName(index int) string { return fmt.Sprintf("w%d", index) }

// machineAddress returns the address of a machine after a number of moves.
func machineAddress(index, moves int) string { return fmt.Sprintf("10.0.%d.%d:80", moves, index) }

// workerIndex returns the index of the machine with an address.
func workerIndex(address string) int {
	var moves, index int
	_, _ = fmt.Sscanf(address, "10.0.%d.%d:80", &moves, &index)
	return index
}

// crashWorker ends what runs on a machine. It returns the number of the next start.
func (w *world) crashWorker(index int) int {
	m := w.machines[index]
	m.crashing.Lock()
	defer m.crashing.Unlock()
	w.mu.Lock()
	previous := m.worker
	if previous != nil {
		m.worker, m.crashed = nil, previous
	}
	m.starts++
	start := m.starts
	w.mu.Unlock()
	if previous != nil {
		previous.Crash()
		w.log(workerName(index)).Info("worker crashes", "born", previous.StartUnixMilli())
	}
	return start
}

// startWorker starts a worker with another ID after crashing the current one, if any.
func (w *world) startWorker(index int) {
	start := w.crashWorker(index)
	linger := w.randomDuration(maxLingerMillis)
	w.beginIncarnation(index, start, func(m *machine) {
		m.life++
		if m.registered.key != "" {
			w.lingering = append(w.lingering, lingeringRecord{m.registered, time.Now().Add(linger)})
			m.registered = record{}
		}
	})
}

// restartWorker crashes a worker, which starts again under its ID after the downtime.
func (w *world) restartWorker(index int, downtime time.Duration) {
	start := w.crashWorker(index)
	time.Sleep(downtime + time.Millisecond) // no two incarnations start in the same millisecond
	moves := w.randomChance(0.1)
	w.beginIncarnation(index, start, func(m *machine) {
		if moves {
			m.address = machineAddress(index, start)
		}
	})
}

// setClockBack sets the time of day of a machine back, so that the next incarnation of its worker
// states an earlier start than this one.
func (w *world) setClockBack(index int, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines[index].clockOffset -= by
}

// beginIncarnation starts a worker that has run nothing and publishes its registration
// after a random time, unless another start of the machine has been ordered meanwhile.
func (w *world) beginIncarnation(index, start int, change func(m *machine)) {
	w.mu.Lock()
	m := w.machines[index]
	if m.starts != start {
		w.mu.Unlock()
		return
	}
	change(m)
	m.worker = worker.New(w.workerOptions(m))
	r := record{key: w.workerID(index, m.life), address: m.address}
	born := m.worker.StartUnixMilli()
	if w.statesStart {
		r.startUnixMilli = born
	}
	w.mu.Unlock()
	log := w.log(workerName(index)).With("id", r.key, "address", r.address, "born", born)
	log.Info("worker starts")
	publish := func() {
		w.mu.Lock()
		current := m.starts == start
		if current {
			m.registered = r
		}
		w.mu.Unlock()
		if current {
			log.Info("registration published", "states", r.startUnixMilli)
		}
	}
	if start == 1 || w.randomChance(0.3) {
		publish()
		return
	}
	delay := time.Duration(w.randomInt(maxPublishMillis)) * time.Millisecond
	w.goroutines.Go(func() {
		time.Sleep(delay)
		publish()
	})
}

// workerOptions returns the options of the next worker of a machine. The caller holds the lock.
func (w *world) workerOptions(m *machine) worker.Options {
	return worker.Options{
		ID: w.workerID(m.index, m.life), Slots: slotsPerWorker, Monitor: w.monitor, ClockRate: m.clockRate, ClockOffset: m.clockOffset,
		PlanRun: func(task string) (string, time.Duration) {
			outcome := "done"
			if w.randomChance(failChance) || w.takesEffect(tasksFail) {
				outcome = "failed"
			}
			return outcome, w.runTime(task)
		},
		DelayOrder: func(path string) time.Duration {
			if w.takesEffect(lateOrders) || w.takesEffect(late(path)) {
				return time.Duration(300+w.randomInt(4000)) * time.Millisecond
			}
			return 0
		},
		MoveDeadline: func() bool { return w.active(lateGrants) },
	}
}
