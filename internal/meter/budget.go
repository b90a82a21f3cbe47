package meter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Activity is the kind of a measurement.
type Activity string

// Kinds of measurements: a health probe of a backend server, and an exchange of in-flight counts between hosts.
const (
	ActivityProbe  Activity = "Probe"
	ActivityCounts Activity = "Counts"
)

// Spent is the cost of the measurements in one failure domain since the start of the process.
type Spent struct {
	Domain string
	Probes int64
	Bytes  int64
	// Denied counts the measurements that the budget did not allow.
	Denied int64
}

// BudgetConfig limits the cost of measurements. Epoch is the wall-clock time of offset 0 of the caller's monotonic clock.
type BudgetConfig struct {
	ProbesPerSec float64
	BytesPerSec  float64
	// CoreShare is the share of one processor core, from 0 to 1.
	CoreShare float64
	Epoch     time.Time
}

// Budget is the rate limiter that all measurements of a host share. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	config BudgetConfig
	probes *rate.Limiter
	bytes  *rate.Limiter
	// cpuTime limits processor time. Its tokens are nanoseconds.
	cpuTime *rate.Limiter
	// spent holds the costs by failure domain.
	spent     map[string]*Spent
	coreSpent time.Duration
}

// burstPeriod is the time for which unused budget accumulates.
const burstPeriod = time.Second

// NewBudget returns a budget with the full burst available.
func NewBudget(c BudgetConfig) *Budget {
	limiter := func(perSec float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSec), int(max(1, perSec*burstPeriod.Seconds())))
	}
	return &Budget{
		config: c, spent: map[string]*Spent{}, probes: limiter(c.ProbesPerSec),
		bytes: limiter(c.BytesPerSec), cpuTime: limiter(c.CoreShare * float64(time.Second)),
	}
}

// Allow reports whether a measurement may be made now. If so, it takes the given bytes, and for ActivityProbe one
// probe, from the budget and adds them to the costs of the failure domain. Otherwise it counts the measurement as
// denied there.
func (b *Budget) Allow(now time.Duration, activity Activity, domain string, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.config.Epoch.Add(now)
	spent := b.spentIn(domain)
	probes := 0
	if activity == ActivityProbe {
		probes = 1
	}
	if b.probes.TokensAt(at) < float64(probes) || b.bytes.TokensAt(at) < float64(bytes) || b.cpuTime.TokensAt(at) <= 0 {
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

// Charge deducts from the budget the processor time that measurements have used. It may use up future budget: Allow then
// denies measurements until that time has passed.
func (b *Budget) Charge(now, cpuTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coreSpent += cpuTime
	at := b.config.Epoch.Add(now)
	for cpuTime > 0 {
		part := min(int(cpuTime), b.cpuTime.Burst())
		b.cpuTime.ReserveN(at, part)
		cpuTime -= time.Duration(part)
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

// Usage holds the limits of a budget and the costs so far.
type Usage struct {
	ProbesPerSec float64
	BytesPerSec  float64
	CoreShare    float64
	CoreSpent    time.Duration
	Domains      []Spent
}

// Usage returns the limits and the costs so far.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{b.config.ProbesPerSec, b.config.BytesPerSec, b.config.CoreShare, b.coreSpent, nil}
	for _, s := range b.spent {
		u.Domains = append(u.Domains, *s)
	}
	return u
}
