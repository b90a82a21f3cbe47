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
	claimPrefix  = "briarcroft/claims/"
	claimLease   = 24 * time.Hour
	leaseRenewal = time.Hour
	// settleTries is how often an unconfirmed claim is settled by asking again.
	settleTries = 3
	settlePause = 50 * time.Millisecond
)

// plainClaims claims plain keys in the store, at a bounded rate.
type plainClaims struct {
	store   platform.Store
	limiter *rate.Limiter
	// leasing holds one token while nobody asks the store for a lease.
	leasing chan struct{}
	lease   platform.LeaseID
	leased  time.Time
}

func newPlainClaims(store platform.Store, perSec float64) *plainClaims {
	p := &plainClaims{store: store, limiter: rate.NewLimiter(rate.Limit(perSec), int(max(1, perSec))), leasing: make(chan struct{}, 1)}
	p.leasing <- struct{}{}
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
func (p *plainClaims) claim(ctx context.Context, k claim.Key, own claim.Grant) (key claim.Key, claimed bool) {
	if !p.limiter.Allow() {
		return k, false
	}
	lease, err := p.currentLease(ctx)
	if err != nil {
		return k, false
	}
	value, err := json.Marshal(owner{own.Host, strconv.FormatUint(own.Incarnation, 10), own.Issued})
	if err != nil {
		return k, false
	}
	for range settleTries {
		result, err := p.store.Create(ctx, claimPrefix+k.Suffix, value, lease)
		if err == nil {
			return settled(k, own, result)
		}
		if !duty.Sleep(ctx, settlePause) {
			break
		}
	}
	return k, false
}

// settled returns the key under the grant that the store holds for it.
func settled(k claim.Key, own claim.Grant, result platform.CreateResult) (claim.Key, bool) {
	k.Grant = own
	if result.Created {
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
func (p *plainClaims) currentLease(ctx context.Context) (platform.LeaseID, error) {
	select {
	case <-p.leasing:
	case <-ctx.Done():
		return 0, platform.ErrUnavailable.New("the store has not given a lease in time; send the key again")
	}
	defer func() { p.leasing <- struct{}{} }()
	if p.lease != 0 && time.Since(p.leased) < leaseRenewal {
		return p.lease, nil
	}
	lease, err := p.store.GrantLease(ctx, claimLease)
	if err != nil {
		return 0, err
	}
	p.lease, p.leased = lease, time.Now()
	return lease, nil
}
