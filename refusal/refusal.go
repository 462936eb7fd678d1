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
	BadBody             Kind = "bad-body"
	BadKey              Kind = "bad-key"
	BadHeader           Kind = "bad-header"
	HeaderTooLarge      Kind = "header-too-large"
	BodyTooLarge        Kind = "body-too-large"
	TooManyTasks        Kind = "too-many-tasks"
	AnswerTooLarge      Kind = "answer-too-large"
	NoSuchService       Kind = "no-such-service"
	NoSuchTenant        Kind = "no-such-tenant"
	NoSuchRoute         Kind = "no-such-route"
	KeyRequired         Kind = "key-required"
	KeyConflict         Kind = "key-conflict"
	KeyExpired          Kind = "key-expired"
	KeyUnknown          Kind = "key-unknown"
	Lost                Kind = "lost"
	AnswerNotKept       Kind = "answer-not-kept"
	NeverRuns           Kind = "never-runs"
	DeadlineTooClose    Kind = "deadline-too-close"
	Overloaded          Kind = "overloaded"
	OverQuota           Kind = "over-quota"
	Draining            Kind = "draining"
	NotReady            Kind = "not-ready"
	LogUnavailable      Kind = "log-unavailable"
	OwnerUnreachable    Kind = "owner-unreachable"
	Cancelled           Kind = "cancelled"
	DeadlineExceeded    Kind = "deadline-exceeded"
	UpstreamFailed      Kind = "upstream-failed"
	UpstreamUnreachable Kind = "upstream-unreachable"
	AnswerCorrupt       Kind = "answer-corrupt"
	CallerTooSlow       Kind = "caller-too-slow"
)

// statuses gives the HTTP status of each kind.
var statusByKind = map[Kind]int{
	BadBody: http.StatusBadRequest, BadKey: http.StatusBadRequest, BadHeader: http.StatusBadRequest,
	HeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	BodyTooLarge:   http.StatusRequestEntityTooLarge, TooManyTasks: http.StatusRequestEntityTooLarge,
	AnswerTooLarge: http.StatusBadGateway, NoSuchService: http.StatusNotFound, NoSuchTenant: http.StatusForbidden,
	NoSuchRoute: http.StatusNotFound, KeyRequired: http.StatusBadRequest, KeyConflict: http.StatusUnprocessableEntity,
	KeyExpired: http.StatusGone, KeyUnknown: http.StatusNotFound, Lost: http.StatusGone, AnswerNotKept: http.StatusGone,
	NeverRuns: http.StatusUnprocessableEntity, DeadlineTooClose: http.StatusServiceUnavailable,
	Overloaded: http.StatusServiceUnavailable, OverQuota: http.StatusTooManyRequests,
	Draining: http.StatusServiceUnavailable, NotReady: http.StatusServiceUnavailable,
	LogUnavailable: http.StatusServiceUnavailable, OwnerUnreachable: http.StatusBadGateway, Cancelled: http.StatusConflict,
	DeadlineExceeded: http.StatusGatewayTimeout, UpstreamFailed: http.StatusBadGateway,
	UpstreamUnreachable: http.StatusBadGateway, AnswerCorrupt: http.StatusBadGateway,
	CallerTooSlow: http.StatusRequestTimeout,
}

// Kinds lists every kind, for the pages and for the test that holds them to it.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(statusByKind))
	for kind := range statusByKind {
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

// WithRetryAt returns a copy that tells the caller when to come back.
func (r Refusal) WithRetryAt(at time.Time) *Refusal {
	r.RetryAt = at
	return &r
}

// Status is the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if status, ok := statusByKind[r.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Error gives kind, outcome and detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Outcome, r.Detail)
}
