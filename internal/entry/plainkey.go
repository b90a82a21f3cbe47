package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/duty"
	"briarcroft/internal/platform"

	"golang.org/x/time/rate"
)

// Places and times of plain keys in the store.
const (
	claimKeyPrefix  = "briarcroft/claims/"
	claimLeaseTime  = 24 * time.Hour
	leaseRenewalAge = time.Hour
	// createAttempts is how often an unconfirmed claim is settled by asking again.
	createAttempts   = 3
	createRetryDelay = 50 * time.Millisecond
)

// plainKeyStore claims plain keys in the store, at a bounded rate.
type plainKeyStore struct {
	store   platform.Store
	limiter *rate.Limiter
	// leaseLock holds one token while nobody asks the store for a lease.
	leaseLock chan struct{}
	lease     platform.LeaseID
	leasedAt  time.Time
}

func newPlainKeyStore(store platform.Store, perSec float64) *plainKeyStore {
	p := &plainKeyStore{store: store, limiter: rate.NewLimiter(rate.Limit(perSec), int(max(1, perSec))), leaseLock: make(chan struct{}, 1)}
	p.leaseLock <- struct{}{}
	return p
}

// owner is the value of a claimed key: the incarnation that alone may run the request.
type owner struct {
	Host        string
	Incarnation string
	Issued      int64
}

// claim gives a plain key a grant: ours when the claim is won, else the one of the host that holds it.
// Claimed is false when the store gave no answer; nothing was run then, and a claim that takes effect late names our grant.
func (p *plainKeyStore) claim(ctx context.Context, k claim.Key, newGrant claim.Grant) (key claim.Key, claimed bool) {
	if !p.limiter.Allow() {
		return k, false
	}
	lease, err := p.currentLease(ctx)
	if err != nil {
		return k, false
	}
	value, err := json.Marshal(owner{newGrant.Host, strconv.FormatUint(newGrant.Incarnation, 10), newGrant.Issued})
	if err != nil {
		return k, false
	}
	for range createAttempts {
		result, err := p.store.Create(ctx, claimKeyPrefix+k.Suffix, value, lease)
		if err == nil {
			return grantFromStore(k, newGrant, result)
		}
		if !duty.Sleep(ctx, createRetryDelay) {
			break
		}
	}
	return k, false
}

// grantFromStore returns the key under the grant that the store holds for it.
func grantFromStore(k claim.Key, newGrant claim.Grant, result platform.CreateResult) (claim.Key, bool) {
	k.Grant = newGrant
	if result.Won {
		return k, true
	}
	var o owner
	if json.Unmarshal(result.Existing.Value, &o) != nil {
		return k, false
	}
	incarnation, err := strconv.ParseUint(o.Incarnation, 10, 64)
	if err != nil {
		return k, false
	}
	k.Grant = claim.Grant{Host: o.Host, Incarnation: incarnation, Issued: o.Issued}
	return k, true
}

// currentLease returns a lease that still has most of its time, so that a claim outlives its window by far.
func (p *plainKeyStore) currentLease(ctx context.Context) (platform.LeaseID, error) {
	select {
	case <-p.leaseLock:
	case <-ctx.Done():
		return 0, platform.ErrUnavailable.New("the store has not given a lease in time; send the key again")
	}
	defer func() { p.leaseLock <- struct{}{} }()
	if p.lease != 0 && time.Since(p.leasedAt) < leaseRenewalAge {
		return p.lease, nil
	}
	lease, err := p.store.Lease(ctx, claimLeaseTime)
	if err != nil {
		return 0, err
	}
	p.lease, p.leasedAt = lease, time.Now()
	return lease, nil
}
