package meter

import (
	"os"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"

	"pgregory.net/rapid"
)

// TestMain runs the property tests with a fixed seed.
func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// TestBudgetIsNeverExceeded makes measurements in random bursts and checks each interval against the limits.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := BudgetConfig{
			ProbesPerSec: float64(rapid.IntRange(1, 50).Draw(t, "probes")),
			BytesPerSec:  float64(rapid.IntRange(600, 20_000).Draw(t, "bytes")),
			CoreShare:    1, Epoch: time.Unix(0, 0),
		}
		b := NewBudget(c)
		type measurement struct {
			at    time.Duration
			bytes int
		}
		var measurements []measurement
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "measurements") {
			// Gaps of 0 make bursts. During long gaps unused budget accumulates.
			now += time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 40, 900}).Draw(t, "gap")) * time.Millisecond
			bytes := rapid.IntRange(1, 600).Draw(t, "size")
			if b.Allow(now, ActivityProbe, "a", bytes) {
				measurements = append(measurements, measurement{now, bytes})
			}
		}
		for i := range measurements {
			bytes := 0
			for j := i; j < len(measurements); j++ {
				bytes += measurements[j].bytes
				seconds := (measurements[j].at - measurements[i].at + burstPeriod).Seconds()
				if probes := float64(j - i + 1); probes > c.ProbesPerSec*seconds+1e-6 {
					t.Fatalf("%v probes in %v s with a budget of %v per second", probes, seconds, c.ProbesPerSec)
				}
				if float64(bytes) > c.BytesPerSec*seconds+1e-6 {
					t.Fatalf("%d bytes in %v s with a budget of %v per second", bytes, seconds, c.BytesPerSec)
				}
			}
		}
		if u := b.Usage(); len(measurements) > 0 && u.Domains[0].Probes != int64(len(measurements)) {
			t.Fatalf("%d probes were allowed, but the usage shows %d", len(measurements), u.Domains[0].Probes)
		}
	})
}

// TestBudgetLimitsProcessorTime checks that measurements are denied once their processor time has used up the budget.
func TestBudgetLimitsProcessorTime(t *testing.T) {
	b := NewBudget(BudgetConfig{ProbesPerSec: 1000, BytesPerSec: 1e6, CoreShare: 0.01, Epoch: time.Unix(0, 0)})
	allowed := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if b.Allow(now, ActivityProbe, "a", 100) {
			b.Charge(now, time.Millisecond)
			allowed++
		}
	}
	// 1% of 10 s is 100 ms, and 10 ms have accumulated at the start.
	if allowed > 111 || allowed < 100 {
		t.Fatalf("%d measurements of 1 ms in 10 s with a budget of 1%% of a core", allowed)
	}
}

func TestZeroBudgetMeasuresNothing(t *testing.T) {
	b := NewBudget(BudgetConfig{CoreShare: 0.01, Epoch: time.Unix(0, 0)})
	for now := range 100 {
		if b.Allow(time.Duration(now)*time.Second, ActivityProbe, "a", 1) {
			t.Fatal("a budget of zero allowed a probe")
		}
	}
}
