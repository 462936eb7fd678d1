// Package refusal holds the typed failures that callers are told about, each with what is known of the work.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says what is known about the work of a failed call.
type Outcome string

// The outcomes. NotRun is claimed only where it is proved.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Failed  Outcome = "failed"
)

// Kind is the type of a failure, the last part of its problem type URI.
type Kind string

// The kinds, each with its meaning in docs/operating/errors.md.
const (
	BadBody       Kind = "bad-body"
	BadKey        Kind = "bad-key"
	BadHeader     Kind = "bad-header"
	HeaderTooBig  Kind = "header-too-large"
	BodyTooLarge  Kind = "body-too-large"
	TooManyTasks  Kind = "too-many-tasks"
	AnswerTooBig  Kind = "answer-too-large"
	NoService     Kind = "no-such-service"
	NoTenant      Kind = "no-such-tenant"
	NoRoute       Kind = "no-such-route"
	KeyRequired   Kind = "key-required"
	KeyConflict   Kind = "key-conflict"
	KeyExpired    Kind = "key-expired"
	KeyUnknown    Kind = "key-unknown"
	Lost          Kind = "lost"
	NotKept       Kind = "answer-not-kept"
	NeverRuns     Kind = "never-runs"
	TooLate       Kind = "deadline-too-close"
	Overloaded    Kind = "overloaded"
	OverQuota     Kind = "over-quota"
	Draining      Kind = "draining"
	NotReady      Kind = "not-ready"
	LogDown       Kind = "log-unavailable"
	OwnerDown     Kind = "owner-unreachable"
	Cancelled     Kind = "cancelled"
	DeadlineOver  Kind = "deadline-exceeded"
	UpstreamFail  Kind = "upstream-failed"
	UpstreamGone  Kind = "upstream-unreachable"
	CorruptAnswer Kind = "answer-corrupt"
	SlowCaller    Kind = "caller-too-slow"
)

// statuses gives the HTTP status of each kind.
var statuses = map[Kind]int{
	BadBody: http.StatusBadRequest, BadKey: http.StatusBadRequest, BadHeader: http.StatusBadRequest,
	HeaderTooBig: http.StatusRequestHeaderFieldsTooLarge,
	BodyTooLarge: http.StatusRequestEntityTooLarge, TooManyTasks: http.StatusRequestEntityTooLarge,
	AnswerTooBig: http.StatusBadGateway, NoService: http.StatusNotFound, NoTenant: http.StatusForbidden,
	NoRoute: http.StatusNotFound, KeyRequired: http.StatusBadRequest, KeyConflict: http.StatusUnprocessableEntity,
	KeyExpired: http.StatusGone, KeyUnknown: http.StatusNotFound, Lost: http.StatusGone, NotKept: http.StatusGone,
	NeverRuns: http.StatusUnprocessableEntity, TooLate: http.StatusServiceUnavailable,
	Overloaded: http.StatusServiceUnavailable, OverQuota: http.StatusTooManyRequests,
	Draining: http.StatusServiceUnavailable, NotReady: http.StatusServiceUnavailable,
	LogDown: http.StatusServiceUnavailable, OwnerDown: http.StatusBadGateway, Cancelled: http.StatusConflict,
	DeadlineOver: http.StatusGatewayTimeout, UpstreamFail: http.StatusBadGateway,
	UpstreamGone: http.StatusBadGateway, CorruptAnswer: http.StatusBadGateway,
	SlowCaller: http.StatusRequestTimeout,
}

// Kinds lists every kind, for the pages and for the test that holds them to it.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(statuses))
	for kind := range statuses {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Refusal is a failure that a caller is told about. RetryAt is the zero time
// where asking again is of no use.
type Refusal struct {
	Kind    Kind
	Outcome Outcome
	Detail  string
	RetryAt time.Time
}

// New makes a refusal; the detail is formatted as by fmt.Sprintf.
func New(kind Kind, outcome Outcome, detail string, arguments ...any) *Refusal {
	if len(arguments) > 0 {
		detail = fmt.Sprintf(detail, arguments...)
	}
	return &Refusal{Kind: kind, Outcome: outcome, Detail: detail}
}

// Later returns a copy that tells the caller when to come back.
func (r Refusal) Later(at time.Time) *Refusal {
	r.RetryAt = at
	return &r
}

// Status is the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if status, ok := statuses[r.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Error gives kind, outcome and detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Outcome, r.Detail)
}
