package meter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Activity names what a measurement costs the budget for.
type Activity string

// The activities that measure.
const (
	ActivityProbe  Activity = "Probe"
	ActivityCounts Activity = "Counts"
)

// Spent is what measuring has cost in one failure domain since the start.
type Spent struct {
	Domain string
	Probes int64
	Bytes  int64
	// Denied counts the measurements that the budget refused.
	Denied int64
}

// BudgetConfig is what measuring may cost; Epoch is where the caller's monotonic clock starts.
type BudgetConfig struct {
	ProbesPerSec float64
	BytesPerSec  float64
	// CoreShare is the share of one core, from 0 to 1.
	CoreShare float64
	Epoch     time.Time
}

// Budget is the one limiter that everything that measures asks first.
type Budget struct {
	mu        sync.Mutex
	config    BudgetConfig
	probes    *rate.Limiter
	bytes     *rate.Limiter
	core      *rate.Limiter
	spent     map[string]*Spent
	coreSpent time.Duration
}

// burstPeriod is how much of a budget may be saved up.
const burstPeriod = time.Second

// NewBudget returns a full budget.
func NewBudget(c BudgetConfig) *Budget {
	limiter := func(perSec float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSec), int(max(1, perSec*burstPeriod.Seconds())))
	}
	return &Budget{
		config: c, spent: map[string]*Spent{}, probes: limiter(c.ProbesPerSec),
		bytes: limiter(c.BytesPerSec), core: limiter(c.CoreShare * float64(time.Second)),
	}
}

// Allow reports whether a measurement may be made now, and spends its cost in bytes on the failure domain.
func (b *Budget) Allow(now time.Duration, activity Activity, domain string, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.config.Epoch.Add(now)
	spent := b.spentIn(domain)
	probes := 0
	if activity == ActivityProbe {
		probes = 1
	}
	if b.probes.TokensAt(at) < float64(probes) || b.bytes.TokensAt(at) < float64(bytes) || b.core.TokensAt(at) <= 0 {
		spent.Denied++
		return false
	}
	if b.config.ProbesPerSec == 0 && probes > 0 || b.config.BytesPerSec == 0 || !b.bytes.AllowN(at, bytes) {
		spent.Denied++
		return false
	}
	b.probes.AllowN(at, probes)
	spent.Probes += int64(probes)
	spent.Bytes += int64(bytes)
	return true
}

// Charge takes processor time that measuring has used off the budget.
func (b *Budget) Charge(now, core time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coreSpent += core
	at := b.config.Epoch.Add(now)
	for core > 0 {
		part := min(int(core), b.core.Burst())
		b.core.ReserveN(at, part)
		core -= time.Duration(part)
	}
}

func (b *Budget) spentIn(name string) *Spent {
	s := b.spent[name]
	if s == nil {
		s = &Spent{Domain: name}
		b.spent[name] = s
	}
	return s
}

// Usage is what was allowed and what was spent so far.
type Usage struct {
	ProbesPerSec float64
	BytesPerSec  float64
	CoreShare    float64
	CoreSpent    time.Duration
	Domains      []Spent
}

// Usage returns the budget beside what was spent.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{b.config.ProbesPerSec, b.config.BytesPerSec, b.config.CoreShare, b.coreSpent, nil}
	for _, s := range b.spent {
		u.Domains = append(u.Domains, *s)
	}
	return u
}
