package node

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/radishgate/radishgate/internal/placement/explanation"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/platform"
)

// Bounds of an explanation, which is worked out with the lock of a holder.
const (
	maxExplainBytes     = 64 << 10
	maxExplainSteps     = 16
	maxExplainTasks     = 1000
	explainInterval     = 100 * time.Millisecond // shortest time between two explanations
	explainReadTimeout  = 2 * time.Second
	maxExplainDeadline  = 24 * time.Hour
	explainDeadline     = 10 * time.Second // as of a client that states none
	explainRetrySeconds = "1"
	explainJob          = "0000000000000000" // ID of a job for which none is given
)

// explainer bounds the number of explanations.
type explainer struct {
	limiter *rate.Limiter
	mu      sync.Mutex // held while an explanation is worked out
}

func newExplainer() *explainer {
	return &explainer{limiter: rate.NewLimiter(rate.Every(explainInterval), 1)}
}

// QueryError reports what is wrong with a query for an explanation.
type QueryError struct {
	Status int // of the HTTP response
	Reason string
}

// Error returns the reason, which is sent to the operator.
func (e *QueryError) Error() string { return e.Reason }

// operatorRoutes serves explanations and the metrics.
func (n *Node) operatorRoutes() http.Handler {
	e := echo.New()
	e.POST(explanation.Path, n.serveExplanation)
	e.Any("/*", echo.WrapHandler(n.instruments.handler()))
	return e
}

// serveExplanation answers a query for an explanation.
func (n *Node) serveExplanation(c echo.Context) error {
	if !n.explainer.limiter.Allow() {
		return busyExplaining(c)
	}
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(explainReadTimeout)) // test recorders have none
	var query explanation.Query
	err := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxExplainBytes)).Decode(&query)
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return c.String(http.StatusRequestEntityTooLarge, err.Error())
	}
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if !n.explainer.mu.TryLock() {
		return busyExplaining(c)
	}
	defer n.explainer.mu.Unlock()
	e, err := n.explain(query)
	if invalid := new(QueryError); errors.As(err, &invalid) {
		return c.String(invalid.Status, invalid.Reason)
	}
	return c.JSON(http.StatusOK, e)
}

// busyExplaining answers a query that comes too soon after another one.
func busyExplaining(c echo.Context) error {
	c.Response().Header().Set("Retry-After", explainRetrySeconds)
	return c.String(http.StatusTooManyRequests, "one explanation at a time and ten a second are given")
}

// explain returns where a job would go. An error is a *QueryError.
func (n *Node) explain(query explanation.Query) (*explanation.Explanation, error) {
	b, err := n.queriedJob(query)
	if err != nil {
		return nil, err
	}
	if query.Group != "" && !slices.Contains(n.groups(), query.Group) {
		return nil, &QueryError{http.StatusNotFound, "no group " + query.Group}
	}
	e := &explanation.Explanation{At: b.ArrivedAt, Queue: b.Queue, Job: b.ID, Group: query.Group}
	if reason := unsupportedReason(b); reason != "" {
		e.Group, e.Refusal = "", &explanation.Refusal{Reason: reason, Retry: e.At.Add(unsupportedRetryDelay)}
		return e, nil
	}
	n.tracker.Explain(e, b, func(group string, tasks int) string { return n.detourBy(group, tasks, n.freeSlots.find) })
	if e.Group == "" {
		return e, nil
	}
	if current, known := n.currentHolder(e.Group); known && current.Local {
		if h, held := n.holder(e.Group); held {
			placement := h.Explain(b)
			e.Placement = &placement
			if placement.Target != "" {
				e.Route, e.Group = placement.Route, placement.Target
			}
		}
	}
	if current, known := n.currentHolder(e.Group); known {
		e.Holder, e.Address = current.ID, current.Address
	}
	return e, nil
}

// queriedJob returns the job that a query is about. An error is a *QueryError.
func (n *Node) queriedJob(query explanation.Query) (*batch.Batch, error) {
	queue, status := n.routes.Named(query.Queue)
	if query.Queue == "" {
		var rest string
		queue, rest, status = n.routes.Find(strings.ToLower(query.Host), query.Path)
		if query.Job == "" && rest != "" {
			query.Job = rest
		}
	}
	switch status {
	case platform.NoConfiguration:
		return nil, &QueryError{http.StatusServiceUnavailable, "no configuration has been read yet"}
	case platform.NoQueue:
		return nil, &QueryError{http.StatusNotFound, "no such queue"}
	}
	b := &batch.Batch{Steps: []batch.Step{{
		Count: max(1, query.Count), Resources: resources.Resources{MilliCores: query.Cores, MemoryMB: query.Memory}, Hint: explainTime(query.Estimate, 0),
	}}}
	if len(query.Body) > 0 {
		parsed, err := platform.ParseBatch(query.Body)
		if err != nil {
			return nil, &QueryError{http.StatusBadRequest, err.Error()}
		}
		b = parsed
	}
	if query.Cores < 0 || query.Memory < 0 || len(b.Steps) > maxExplainSteps || b.Tasks() > maxExplainTasks {
		return nil, &QueryError{http.StatusBadRequest, "the job is too large to be explained, or asks for less than nothing"}
	}
	if query.Job == "" {
		query.Job = explainJob
	}
	b.QueueSettings, b.ID, b.SpilledOver, b.ArrivedAt = queue, query.Job, query.Moved, time.Now()
	b.ExpiresAt = b.ArrivedAt.Add(explainTime(query.Deadline, explainDeadline))
	return b, nil
}

// explainTime returns a duration in milliseconds, or a default if it is not positive.
func explainTime(ms int64, without time.Duration) time.Duration {
	if ms <= 0 {
		return without
	}
	return time.Duration(min(ms, maxExplainDeadline.Milliseconds())) * time.Millisecond
}
