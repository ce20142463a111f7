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

// Times of the claims of idempotency keys.
const (
	claimTimeout = 3 * time.Second
	claimLease   = once.KeyRetention
	claimShare   = time.Hour
)

// claim names the agent that alone may run the request with a key.
type claim struct {
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	Fingerprint string `json:"fingerprint"`
}

// claimed is the claim under which a relay sends.
type claimed struct {
	id          string
	agent       string
	incarnation uint64
	revision    uint64
	moved       bool
}

// claimTarget returns the target that the key's claim names. The first caller
// with a key makes the claim; after an agent's promise that the key will not
// run there, the claim moves on.
func (v *relay) claimTarget(c context.Context) (route.Target, *refuse.Problem) {
	c, cancel := context.WithTimeout(c, claimTimeout)
	defer cancel()
	id := v.service.Name + "/" + jobs.Digest(v.service.Name, v.key)
	f := jobs.Digest(v.r.Method, v.path)
	for {
		r, err := v.entry.claims.Get(c, id)
		var m *store.NotFoundError
		switch {
		case errors.As(err, &m):
			r = store.NewRecord(id, claim{})
		case err != nil:
			return route.Target{}, v.noClaim(err)
		case r.Body.Fingerprint != f:
			return route.Target{}, refuse.NotRun(http.StatusUnprocessableEntity, "key_reused", fmt.Sprintf("%s %q was used for another request", headerKey, v.key))
		case !v.promised(r):
			return v.follow(r)
		}
		t, err := v.entry.gate.acquire(c, v.service, v.class, v.avoid)
		if err != nil {
			return t, v.noSlot(err)
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
		v.entry.gate.done(t.ID, route.Succeeded)
		var x *store.ConflictError
		if !errors.As(err, &x) {
			return route.Target{}, v.noClaim(err)
		}
	}
}

// promised reports whether the agent that a claim names has refused the key
// under it for good.
func (v *relay) promised(r store.Record[claim]) bool {
	return v.claim.moved && v.claim.revision == r.Revision
}

// follow sends the request where the claim points.
func (v *relay) follow(r store.Record[claim]) (route.Target, *refuse.Problem) {
	t, ok := v.entry.gate.take(r.Body.Agent)
	if !ok {
		return t, refuse.MayHaveRun(http.StatusServiceUnavailable, "claimed_elsewhere", fmt.Sprintf("agent %q, which may have run the first request with this key, is not reached", r.Body.Agent))
	}
	v.setClaim(r)
	return t, nil
}

func (v *relay) setClaim(r store.Record[claim]) {
	v.claim = claimed{
		id:          r.ID,
		agent:       r.Body.Agent,
		incarnation: r.Body.Incarnation,
		revision:    r.Revision,
	}
}

func (v *relay) noClaim(err error) *refuse.Problem {
	return refuse.NotRun(http.StatusServiceUnavailable, "store", "the idempotency key cannot be claimed, nothing was sent: "+err.Error())
}

func (v *relay) swapClaim(c context.Context, r store.Record[claim]) (store.Record[claim], error) {
	l, err := v.entry.claimLease(c)
	if err != nil {
		return r, err
	}
	return v.entry.claims.Swap(c, r, l)
}

// claimLease returns the store lease that claims made now share. It is a new
// one each hour.
func (e *Entry) claimLease(c context.Context) (store.Lease, error) {
	e.claimMu <- struct{}{}
	defer func() { <-e.claimMu }()
	if e.claimID != 0 && time.Since(e.claimAt) < claimShare {
		return e.claimID, nil
	}
	l, err := e.ports.Store.Grant(c, claimLease)
	if err != nil {
		return 0, err
	}
	e.claimID = l
	e.claimAt = time.Now()
	return l, nil
}
