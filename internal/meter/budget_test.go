package meter

import (
	"os"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// TestBudgetIsNeverExceeded drives peaks of measuring and checks every stretch of time against the budget.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := BudgetConfig{
			ProbesPerSec: float64(rapid.IntRange(1, 50).Draw(t, "probes")),
			BytesPerSec:  float64(rapid.IntRange(600, 20_000).Draw(t, "bytes")),
			CoreShare:    1, Epoch: time.Unix(0, 0),
		}
		b := NewBudget(c)
		type spend struct {
			at    time.Duration
			bytes int
		}
		var spends []spend
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			// Peaks come without any pause; the long gaps let the budget fill up.
			now += time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 40, 900}).Draw(t, "gap")) * time.Millisecond
			bytes := rapid.IntRange(1, 600).Draw(t, "size")
			if b.Allow(now, ActivityProbe, "a", bytes) {
				spends = append(spends, spend{now, bytes})
			}
		}
		for i := range spends {
			bytes := 0
			for j := i; j < len(spends); j++ {
				bytes += spends[j].bytes
				stretch := (spends[j].at - spends[i].at + burstPeriod).Seconds()
				if probes := float64(j - i + 1); probes > c.ProbesPerSec*stretch+1e-6 {
					t.Fatalf("%v probes in %v s with a budget of %v a second", probes, stretch, c.ProbesPerSec)
				}
				if float64(bytes) > c.BytesPerSec*stretch+1e-6 {
					t.Fatalf("%d bytes in %v s with a budget of %v a second", bytes, stretch, c.BytesPerSec)
				}
			}
		}
		if u := b.Usage(); len(spends) > 0 && u.Domains[0].Probes != int64(len(spends)) {
			t.Fatalf("%d probes were allowed and %d are shown", len(spends), u.Domains[0].Probes)
		}
	})
}

// TestBudgetChargesTheCore checks that processor time already spent holds measuring back.
func TestBudgetChargesTheCore(t *testing.T) {
	b := NewBudget(BudgetConfig{ProbesPerSec: 1000, BytesPerSec: 1e6, CoreShare: 0.01, Epoch: time.Unix(0, 0)})
	allowed := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if b.Allow(now, ActivityProbe, "a", 100) {
			b.Charge(now, time.Millisecond)
			allowed++
		}
	}
	// 1% of ten seconds is 100 ms, and one second's worth was saved up.
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
