// Package settings reads and validates the settings of one entry from an INI file.
package settings

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"runtime"
	"strings"
	"time"

	"github.com/radishgate/radishgate/common/inifile"
	"github.com/radishgate/radishgate/internal/gateway/ingress"
)

// Settings are the settings of one entry. DefaultFile describes each of them for
// operators. Durations become deadlines where they are used.
type Settings struct {
	VM              string  // name of this VM, unique in the fleet
	Zone            string  // availability zone of this VM
	Weight          float64 // share of the zone's slots, relative to other entries
	CallerAddress   string  // listens for callers
	PeerAddress     string  // listens for other entries
	OperatorAddress string  // listens for operators: metrics, status, profiles
	Memory          int64   // MB that the process may take

	Ingress ingress.Limits

	PlatformAddress string        // log and VM list of the platform
	VMListInterval  time.Duration // time between reads of the VM list
	CheckpointAfter time.Duration // age of the last bundle checkpoint at which a new one is written

	Signers     []string // public keys of operators, ed25519 in base64
	TLSCertFile string   // PEM files for mutual TLS among entries: all three or none
	TLSKeyFile  string
	TLSCAFile   string

	MaxBodyBytes     int64         // largest body of a request or job
	AnswerCacheBytes int64         // memory for kept answers
	MaxKeys          int           // idempotency keys remembered at most
	KeyRetention     time.Duration // time for which a key is remembered
	TransferTimeout  time.Duration // time for a caller to send its body, or to receive its answer
	DrainTimeout     time.Duration // time for running work to end after CloseDelay
	CloseDelay       time.Duration // time from the readiness check failing until connections are refused

	HeartbeatInterval time.Duration
	LoanDuration      time.Duration // time for which a slot is lent to another entry
	LogLevel          string        // debug, info, warn or error
	LogFormat         string        // text or json
	Pprof             bool          // serves profiles at OperatorAddress
}

// Error reports that a settings file can't be read.
type Error struct {
	File  string
	Cause error
}

// Error implements error; it names the file.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Load reads and validates a settings file. Errors are *Error or *inifile.Error.
func Load(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &Error{File: name, Cause: err}
	}
	return Parse(name, data)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

// Parse reads and validates settings; name is used in errors, which are of type
// *inifile.Error.
func Parse(name string, data []byte) (*Settings, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	s.readEntry(f)
	s.readPlatform(f)
	s.readKeys(f)
	s.readLimits(f)
	s.readLogsAndOperators(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) readEntry(f *inifile.File) {
	const section = "entry"
	s.VM = f.RequiredString(section, "vm")
	s.Zone = f.RequiredString(section, "zone")
	validateName(f, section, "vm", s.VM)
	validateName(f, section, "zone", s.Zone)
	s.Weight = f.Float(section, "weight", float64(runtime.GOMAXPROCS(0)), 0.01, 4096)
	s.CallerAddress = readAddress(f, section, "listen", true)
	s.PeerAddress = readAddress(f, section, "peers", true)
	s.OperatorAddress = readAddress(f, section, "operators", true)
	s.Memory = f.Int(section, "memory", max(32, ingress.ProcessMemory()>>20), 32, 1<<30)
	descriptors := f.Int(section, "descriptors", int64(ingress.DescriptorLimit()), 64, 1<<30)
	s.Ingress = ingress.ReadLimits(f, int64(heapShare*float64(s.Memory<<20)), int(descriptors))
	if s.Ingress.HeaderBytes == 0 {
		s.Ingress.HeaderBytes = maxHeaderBytes
	}
}

// heapShare is the part of the memory from which the limits of clients are derived, and which the heap of `serve` is
// limited to.
const heapShare = 0.6

// maxHeaderBytes is the default size of a request's header.
const maxHeaderBytes = 64 << 10

func validateName(f *inifile.File, section, key, value string) {
	if !namePattern.MatchString(value) {
		f.Fail(section, key, "is not 1 to 40 of a-z, 0-9 and -")
	}
}

// readAddress reads an IP address with a port. If the key is missing, it returns
// "" and records an error if the key is required.
func readAddress(f *inifile.File, section, key string, required bool) string {
	text := f.String(section, key, "")
	if text == "" {
		if required {
			f.Fail(section, key, "is required")
		}
		return ""
	}
	host, _, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		f.Fail(section, key, fmt.Sprintf("%q is not an IP number with a port", text))
	}
	return text
}

func (s *Settings) readPlatform(f *inifile.File) {
	const section = "platform"
	s.PlatformAddress = readAddress(f, section, "address", true)
	s.VMListInterval = f.Duration(section, "poll", time.Second, 10*time.Millisecond, 2*time.Second)
	s.CheckpointAfter = f.Duration(section, "refresh", 10*time.Minute, 100*time.Millisecond, 240*time.Hour)
}

func (s *Settings) readKeys(f *inifile.File) {
	const section = "keys"
	s.Signers = f.List(section, "signers")
	if len(s.Signers) == 0 {
		f.Fail(section, "signers", "is required: the operators' public keys, separated by commas")
	}
	s.TLSCertFile = f.String(section, "certificate", "")
	s.TLSKeyFile = f.String(section, "key", "")
	s.TLSCAFile = f.String(section, "authority", "")
	given := 0
	for _, file := range []string{s.TLSCertFile, s.TLSKeyFile, s.TLSCAFile} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		f.Fail(section, "certificate", "certificate, key and authority go together")
	}
}

func (s *Settings) readLimits(f *inifile.File) {
	const section = "limits"
	s.MaxBodyBytes = f.Int(section, "body", 16<<20, 1<<10, 1<<30)
	s.AnswerCacheBytes = f.Int(section, "answers", min(mostDefaultAnswers, s.Memory<<20/answerShare), 1<<10, 1<<40)
	s.MaxKeys = int(f.Int(section, "keys", s.defaultMaxKeys(), 1, 100_000_000))
	s.KeyRetention = f.Duration(section, "window", 10*time.Minute, time.Second, 24*time.Hour)
	s.TransferTimeout = f.Duration(section, "patience", 10*time.Second, 10*time.Millisecond, time.Hour)
	s.DrainTimeout = f.Duration(section, "drain", 30*time.Second, 0, time.Hour)
	s.CloseDelay = f.Duration(section, "notice", 2*time.Second, 0, time.Minute)
	s.HeartbeatInterval = f.Duration(section, "beat", 600*time.Millisecond, 10*time.Millisecond, 10*time.Second)
	s.LoanDuration = f.Duration(section, "loan", 2*time.Second, 50*time.Millisecond, time.Minute)
}

// Default of the limit of keys: a share of the memory, by the memory of a key whose job has ended with a small answer.
const (
	mostDefaultKeys = 200_000
	keyShare        = 0.25
	keyBytes        = 1100
)

// Default of the memory for answers: one answerShare-th of the memory, and no more than this many bytes.
const (
	mostDefaultAnswers = 64 << 20
	answerShare        = 8
)

func (s *Settings) defaultMaxKeys() int64 {
	return min(mostDefaultKeys, int64(keyShare*float64(s.Memory<<20)/keyBytes))
}

func (s *Settings) readLogsAndOperators(f *inifile.File) {
	s.LogLevel = f.String("logs", "level", "info")
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		f.Fail("logs", "level", "is none of debug, info, warn, error")
	}
	s.LogFormat = f.String("logs", "form", "text")
	if s.LogFormat != "text" && s.LogFormat != "json" {
		f.Fail("logs", "form", "is neither text nor json")
	}
	s.Pprof = f.Bool("operators", "pprof", false)
}

// DefaultFile returns a settings file that explains every setting. Required
// settings have example values; all others are commented out and show their
// defaults.
func DefaultFile() string {
	return strings.TrimSpace(`
# Settings of one radishgate entry. Required settings stand without a comment
# sign; all others show their default.

[entry]
# Name of this VM, unique in the fleet: a-z, 0-9 and -.
vm = entry-1
# Availability zone of this VM, as the bundle names it.
zone = zone-a
# Share of the zone's slots that this entry is home to, against other entries.
# Default: the number of processors.
# weight = 4
# Addresses (IP number and port) for callers, other entries and operators.
listen = 127.0.0.1:8080
peers = 127.0.0.1:8081
operators = 127.0.0.1:8082
# Memory for the process, in MB, from which the limits below are derived. The
# heap is limited to six tenths of it.
# Default: GOMEMLIMIT, or the memory of the machine.
# memory = 1024
# Descriptors that the process may open. Default: the limit of the process.
# descriptors = 1024

[ingress]
# Limits of clients. Defaults are derived from memory and descriptors; these are
# examples. MB of unfinished headers, of bodies and of their parsing.
# memory = 120
# MB of the jobs that callers wait for.
# jobs = 60
# MB of the jobs that have not ended, also of those that no caller waits for.
# held = 150
# Connections of callers in all, and from one address while there are others.
# connections = 400
# address = 200
# Bytes of one request's header.
# header = 65536
# Time without a byte after which a transfer is ended, and its lowest rate in
# bytes a second.
# stall = 3s
# rate = 2048

[platform]
# Address of the platform's log and VM list.
address = 127.0.0.1:8070
# Time between reads of the VM list.
# poll = 1s
# Age of the last checkpoint of the bundle at which a new one is written; at
# most a third of the log's retention.
# refresh = 10m

[keys]
# Public keys of the operators who may sign bundles (radishgate keys new).
signers = BASE64
# Mutual TLS among entries: PEM files, all three or none.
# certificate =
# key =
# authority =

[limits]
# Largest body of a job, in bytes; at most a quarter of [ingress] memory.
# body = 16777216
# Memory for kept answers, in bytes; also the most for the answers of one job.
# Default: 64 MB, or an eighth of the memory if that is less.
# answers = 67108864
# Keys remembered at most, of all partitions together. Default: 200000, or a
# quarter of the memory at 1,100 bytes each if that is less.
# keys = 200000
# Time for which a key is remembered; older ones are refused as expired.
# window = 10m
# Time for a caller to send its body or to take its answer.
# patience = 10s
# Time from SIGTERM until what still runs is given up.
# drain = 30s
# Time from SIGTERM until new connections are refused, for the balancer to notice.
# notice = 2s
# Time between heartbeats.
# beat = 600ms
# Life of a slot lent to another entry.
# loan = 2s

[logs]
# debug, info, warn or error
# level = info
# text or json
# form = text

[operators]
# Serve profiles under /debug/pprof on the operators' address.
# pprof = false
`) + "\n"
}
