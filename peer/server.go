// Package peer is the client and the server of the RPCs between entries: twirp,
// with mutual TLS if configured.
package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/estimate"
	"github.com/radishgate/radishgate/idempotency"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/refusal"
)

// Server answers the RPCs of other entries by calling its functions.
type Server struct {
	JobHandlers
	OnHeartbeat       func(heartbeat *wire.Beat) *wire.Beat
	OnBorrow          func(ctx context.Context, request loan.Request, service string) (loan.Grant, int)
	OnSubmit          func(ctx context.Context, submission idempotency.Submission) idempotency.Result
	OnQuery           func(ctx context.Context, query idempotency.Query) idempotency.Result
	BundleRecords     func(above int64) []bundle.Record
	EstimatorSnapshot func() estimate.Snapshot
}

// Handler returns the HTTP handler. It omits the Date header: heartbeats are
// small and frequent, and the control traffic of an entry is limited.
func (s *Server) Handler() http.Handler {
	inner := wire.NewPeerServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		inner.ServeHTTP(w, r)
	})
}

// Gossip handles a heartbeat and returns the one in reply.
func (s *Server) Gossip(_ context.Context, heartbeat *wire.Beat) (*wire.Beat, error) {
	return s.OnHeartbeat(heartbeat), nil
}

// Borrow handles a request of another entry to borrow, renew or return slots.
func (s *Server) Borrow(ctx context.Context, r *wire.BorrowRequest) (*wire.BorrowReply, error) {
	request := loan.Request{
		Borrower: r.Holder, Wanted: int(r.Want), Backlog: int(r.Backlog), HeldSlots: int(r.Held),
		ReturnIDs: r.Returned, RenewIDs: r.Renew, MinSpeed: float64(r.Speed), CrossZone: r.Far,
	}
	if r.WaitMs > 0 {
		request.WaitUntil = time.Now().Add(time.Duration(r.WaitMs) * time.Millisecond)
	}
	grant, freeSlots := s.OnBorrow(ctx, request, r.Service)
	reply := &wire.BorrowReply{
		Renewed: grant.Renewed, Recalled: grant.Recalled, Returned: grant.Returned,
		LifeMs: uint32(grant.Duration.Milliseconds()), Free: uint32(max(0, freeSlots)),
	}
	for _, l := range grant.Loans {
		reply.Loans = append(reply.Loans, &wire.Loan{Id: l.ID, Upstream: l.Upstream})
	}
	return reply, nil
}

// Submit handles a job that another entry forwards because of its key.
func (s *Server) Submit(ctx context.Context, r *wire.SubmitRequest) (*wire.JobReply, error) {
	now := time.Now()
	submission := idempotency.Submission{
		Key: r.Key, Digest: r.Digest, Tenant: r.Tenant, Service: r.Service, IsRequest: r.Request, Forwarded: true,
	}
	if r.LimitMs > 0 {
		submission.Deadline = now.Add(time.Duration(r.LimitMs) * time.Millisecond)
	}
	if r.WaitMs > 0 {
		submission.WaitUntil = now.Add(time.Duration(r.WaitMs) * time.Millisecond)
	}
	for _, t := range r.Tasks {
		hint := time.Duration(t.HintMs) * time.Millisecond
		submission.Tasks = append(submission.Tasks, job.Task{Body: t.Body, ContentType: t.Type, RuntimeHint: hint})
	}
	return packResult(s.OnSubmit(ctx, submission)), nil
}

// Look handles a query about a job that another entry forwards because of its
// key.
func (s *Server) Look(ctx context.Context, r *wire.LookRequest) (*wire.JobReply, error) {
	query := idempotency.Query{Key: r.Key, Cancel: r.Cancel, Forwarded: true}
	if r.WaitMs > 0 {
		query.WaitUntil = time.Now().Add(time.Duration(r.WaitMs) * time.Millisecond)
	}
	return packResult(s.OnQuery(ctx, query)), nil
}

// Fetch returns the bundle in use if the requester has an older one, and on
// request the estimates, for an entry that has just started.
func (s *Server) Fetch(_ context.Context, r *wire.FetchRequest) (*wire.FetchReply, error) {
	reply := &wire.FetchReply{}
	if r.Lesson {
		snapshot := s.EstimatorSnapshot()
		reply.Services, reply.Hints, reply.Speeds = snapshot.LogRuntimes, snapshot.LogHintFactors, snapshot.LogSpeeds
	}
	chain := s.BundleRecords(r.Version)
	if len(chain) == 0 {
		return reply, nil
	}
	data, err := json.Marshal(chain)
	reply.Chain = data
	return reply, err
}

func packResult(r idempotency.Result) *wire.JobReply {
	reply := &wire.JobReply{
		State: string(r.State), Done: uint32(r.CompletedTasks), Tasks: uint32(r.Tasks), Earlier: r.EarlierOwner,
	}
	for _, a := range r.Answers {
		reply.Answers = append(reply.Answers, &wire.Answer{Status: uint32(a.Status), Type: a.ContentType, Body: a.Body})
	}
	if r.Refusal == nil {
		return reply
	}
	reply.Kind, reply.Outcome, reply.Detail = string(r.Refusal.Kind), string(r.Refusal.Outcome), r.Refusal.Detail
	if !r.Refusal.RetryAt.IsZero() {
		reply.RetryMs = uint32(max(1, time.Until(r.Refusal.RetryAt).Milliseconds()))
	}
	return reply
}

func unpackResult(reply *wire.JobReply) idempotency.Result {
	r := idempotency.Result{
		State: job.State(reply.State), CompletedTasks: int(reply.Done), Tasks: int(reply.Tasks), EarlierOwner: reply.Earlier,
	}
	for _, a := range reply.Answers {
		r.Answers = append(r.Answers, job.Answer{Status: int(a.Status), ContentType: a.Type, Body: a.Body})
	}
	if reply.Kind == "" {
		return r
	}
	r.Refusal = refusal.New(refusal.Kind(reply.Kind), refusal.Outcome(reply.Outcome), reply.Detail)
	if reply.RetryMs > 0 {
		r.Refusal.RetryAt = time.Now().Add(time.Duration(reply.RetryMs) * time.Millisecond)
	}
	return r
}

// PackMember converts a member's record to its wire message. The time of the
// record is sent as an age, since clocks differ between VMs.
func PackMember(r member.Record) *wire.Member {
	return &wire.Member{
		Id: r.ID, Zone: r.Zone, Peer: r.PeerAddress, Incarnation: r.Incarnation, Beat: r.Heartbeat,
		Leaving: r.Leaving, Dead: r.Dead, Ready: r.Ready, Weight: uint32(r.Weight * 1000),
		Free: uint32(max(0, r.FreeSlots)), Backlog: uint32(max(0, r.Backlog)), Version: r.BundleVersion,
		AgeMs: millisBetween(r.ReportedAt, time.Now()), Learned: uint32(r.LearnedUpstreams), Workers: r.Workers,
	}
}

// UnpackMember converts a wire message to a member's record.
func UnpackMember(m *wire.Member) member.Record {
	return member.Record{
		ID: m.Id, Zone: m.Zone, PeerAddress: m.Peer, Incarnation: m.Incarnation, Heartbeat: m.Beat,
		Leaving: m.Leaving, Dead: m.Dead, Ready: m.Ready, Weight: float64(m.Weight) / 1000,
		FreeSlots: int(m.Free), Backlog: int(m.Backlog), BundleVersion: m.Version,
		LearnedUpstreams: int(m.Learned), Workers: m.Workers,
		ReportedAt: time.Now().Add(-time.Duration(m.AgeMs) * time.Millisecond),
	}
}
