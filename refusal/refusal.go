// Package refusal defines the failures that are reported to callers. Each has a
// kind, an HTTP status and what is known about the work that was asked for.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says what is known about the work of a failed call.
type Outcome string

// Values of Outcome. NotRun is used only where it is certain that no task was
// started; without proof the outcome is Unknown.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Failed  Outcome = "failed"
)

// Kind is the type of a failure. It is the last part of the problem type URI that
// callers receive.
type Kind string

// Values of Kind; docs/operating/errors.md explains each of them.
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

// statusByKind maps each kind to its HTTP status.
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

// Kinds returns all kinds, in no fixed order. Tests use it to check that the
// documentation covers every kind.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(statusByKind))
	for kind := range statusByKind {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Refusal is a failure that is reported to a caller. RetryAt is the time at which
// the caller may try again, or the zero time if a retry is of no use.
type Refusal struct {
	Kind    Kind
	Outcome Outcome
	Detail  string
	RetryAt time.Time
}

// New returns a refusal. If there are arguments, detail is a format for
// fmt.Sprintf.
func New(kind Kind, outcome Outcome, detail string, arguments ...any) *Refusal {
	if len(arguments) > 0 {
		detail = fmt.Sprintf(detail, arguments...)
	}
	return &Refusal{Kind: kind, Outcome: outcome, Detail: detail}
}

// WithRetryAt returns a copy of the refusal that asks the caller to retry at the
// given time.
func (r Refusal) WithRetryAt(at time.Time) *Refusal {
	r.RetryAt = at
	return &r
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if status, ok := statusByKind[r.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Error implements error; it names kind, outcome and detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Outcome, r.Detail)
}
