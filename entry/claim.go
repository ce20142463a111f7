package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hemlockhinge/jobs"
	"hemlockhinge/once"
	"hemlockhinge/refuse"
	"hemlockhinge/route"
	"hemlockhinge/store"
)

// Times of the claims of idempotency keys. Claims share a store lease, which is
// replaced once it is older than claimLeaseMaxAge.
const (
	claimTimeout     = 3 * time.Second
	claimLeaseTTL    = once.KeyRetention
	claimLeaseMaxAge = time.Hour
)

// claim is the record of an idempotency key in the store. It names the only agent
// that may run the request with this key.
type claim struct {
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	Fingerprint string `json:"fingerprint"`
}

// sentClaim is the claim that a request is sent with.
type sentClaim struct {
	id          string
	agent       string
	incarnation uint64
	revision    uint64
	// refused means that the agent has confirmed that it did not run the request and
	// will never run it under this claim.
	refused bool
}

// claimTarget returns the target that the claim of the request's key names. If the
// key has no claim yet, or if the agent that it names has confirmed that it will
// never run the request, the claim is written for a newly chosen target.
func (v *relayedRequest) claimTarget(c context.Context) (route.Target, *refuse.Problem) {
	c, cancel := context.WithTimeout(c, claimTimeout)
	defer cancel()
	id := v.service.Name + "/" + jobs.Digest(v.service.Name, v.key)
	f := jobs.Digest(v.request.Method, v.path)
	for {
		r, err := v.entry.claims.Get(c, id)
		var m *store.NotFoundError
		switch {
		case errors.As(err, &m):
			r = store.NewRecord(id, claim{})
		case err != nil:
			return route.Target{}, v.claimProblem(err)
		case r.Body.Fingerprint != f:
			return route.Target{}, refuse.NotRun(http.StatusUnprocessableEntity, "key_reused", fmt.Sprintf("%s %q was used for another request", headerKey, v.key))
		case !v.refusedByAgent(r):
			return v.takeClaimedTarget(r)
		}
		t, err := v.entry.dispatcher.acquireSlot(c, v.service, v.class, v.avoid)
		if err != nil {
			return t, v.slotProblem(err)
		}
		r.Body = claim{
			Agent:       t.ID,
			Incarnation: t.Incarnation,
			Fingerprint: f,
		}
		r, err = v.swapClaim(c, r)
		if err == nil {
			v.setClaim(r)
			return t, nil
		}
		v.entry.dispatcher.releaseSlot(t.ID, route.Succeeded)
		var x *store.ConflictError
		if !errors.As(err, &x) {
			return route.Target{}, v.claimProblem(err)
		}
	}
}

// refusedByAgent reports whether the agent that a claim names has confirmed that it
// will never run the request under this claim.
func (v *relayedRequest) refusedByAgent(r store.Record[claim]) bool {
	return v.claim.refused && v.claim.revision == r.Revision
}

// takeClaimedTarget takes a slot of the agent that the claim names. The request must
// not be sent to any other, since this agent may have run it already.
func (v *relayedRequest) takeClaimedTarget(r store.Record[claim]) (route.Target, *refuse.Problem) {
	t, ok := v.entry.dispatcher.takeSlot(r.Body.Agent)
	if !ok {
		return t, refuse.MayHaveRun(http.StatusServiceUnavailable, "claimed_elsewhere", fmt.Sprintf("agent %q, which may have run the first request with this key, is not connected", r.Body.Agent))
	}
	v.setClaim(r)
	return t, nil
}

func (v *relayedRequest) setClaim(r store.Record[claim]) {
	v.claim = sentClaim{
		id:          r.ID,
		agent:       r.Body.Agent,
		incarnation: r.Body.Incarnation,
		revision:    r.Revision,
	}
}

func (v *relayedRequest) claimProblem(err error) *refuse.Problem {
	return refuse.NotRun(http.StatusServiceUnavailable, "store", "the idempotency key cannot be claimed, nothing was sent: "+err.Error())
}

func (v *relayedRequest) swapClaim(c context.Context, r store.Record[claim]) (store.Record[claim], error) {
	l, err := v.entry.sharedClaimLease(c)
	if err != nil {
		return r, err
	}
	return v.entry.claims.Swap(c, r, l)
}

// sharedClaimLease returns the store lease for new claims, and grants another one if
// the last is older than claimLeaseMaxAge.
func (e *Entry) sharedClaimLease(c context.Context) (store.Lease, error) {
	e.claimMu <- struct{}{}
	defer func() { <-e.claimMu }()
	if e.claimLeaseID != 0 && time.Since(e.claimLeaseGrantedAt) < claimLeaseMaxAge {
		return e.claimLeaseID, nil
	}
	l, err := e.ports.Store.Grant(c, claimLeaseTTL)
	if err != nil {
		return 0, err
	}
	e.claimLeaseID = l
	e.claimLeaseGrantedAt = time.Now()
	return l, nil
}
