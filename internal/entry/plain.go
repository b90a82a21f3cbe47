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

// Keys and times of claims. A claim is an entry in the platform's store that names the one incarnation of a host that may
// run the request with a plain key, that is, an Idempotency-Key without a grant.
const (
	claimKeyPrefix = "briarcroft/claims/"
	// claimLeaseTime is how long a claim stays in the store after its lease was granted.
	claimLeaseTime = 24 * time.Hour
	// leaseRenewalAge is the age at which a lease is replaced for new claims. It is a small part of claimLeaseTime,
	// so that each claim stays in the store much longer than its key may be used.
	leaseRenewalAge = time.Hour
	// createAttempts is how often the write of a claim is attempted when the store does not confirm it.
	createAttempts   = 3
	createRetryDelay = 50 * time.Millisecond
)

// plainKeyStore claims plain keys in the platform's store, at a limited rate. A plain key is an Idempotency-Key
// without a grant; the store decides which incarnation of which host may run its request.
type plainKeyStore struct {
	store   platform.Store
	limiter *rate.Limiter
	// leaseLock guards lease and leasedAt. It is a mutex that can be waited for with a context: it holds one token while
	// it is unlocked.
	leaseLock chan struct{}
	lease     platform.LeaseID
	leasedAt  time.Time
}

func newPlainKeyStore(store platform.Store, perSec float64) *plainKeyStore {
	p := &plainKeyStore{store: store, limiter: rate.NewLimiter(rate.Limit(perSec), int(max(1, perSec))), leaseLock: make(chan struct{}, 1)}
	p.leaseLock <- struct{}{}
	return p
}

// storedGrant is the value of a claimed key in the store: the grant of the only incarnation that may run the request.
type storedGrant struct {
	Host        string
	Incarnation string
	Issued      int64
}

// claim returns the plain key with a grant: newGrant if this host wins the claim, or else the grant that the store holds.
// claimed is false when the rate limit is exceeded or the store has not confirmed the claim. The request has not run then,
// and if the write takes effect later, the store names newGrant, so that no other host can run the request.
func (p *plainKeyStore) claim(ctx context.Context, k claim.Key, newGrant claim.Grant) (key claim.Key, claimed bool) {
	if !p.limiter.Allow() {
		return k, false
	}
	lease, err := p.currentLease(ctx)
	if err != nil {
		return k, false
	}
	value, err := json.Marshal(storedGrant{newGrant.Host, strconv.FormatUint(newGrant.Incarnation, 10), newGrant.Issued})
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

// grantFromStore returns the key with the grant that the store holds for it, and false if that cannot be decoded.
func grantFromStore(k claim.Key, newGrant claim.Grant, result platform.CreateResult) (claim.Key, bool) {
	k.Grant = newGrant
	if result.Created {
		return k, true
	}
	var o storedGrant
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

// currentLease returns the lease for new claims and replaces it when it is older than leaseRenewalAge.
// It returns platform.ErrUnavailable when ctx ends while another request renews the lease.
func (p *plainKeyStore) currentLease(ctx context.Context) (platform.LeaseID, error) {
	select {
	case <-p.leaseLock:
	case <-ctx.Done():
		return 0, platform.ErrUnavailable.New("the store did not grant a lease before the request's deadline; send the request again with the same key")
	}
	defer func() { p.leaseLock <- struct{}{} }()
	if p.lease != 0 && time.Since(p.leasedAt) < leaseRenewalAge {
		return p.lease, nil
	}
	lease, err := p.store.GrantLease(ctx, claimLeaseTime)
	if err != nil {
		return 0, err
	}
	p.lease, p.leasedAt = lease, time.Now()
	return lease, nil
}
