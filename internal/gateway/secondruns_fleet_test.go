package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/settings"
	"briarcroft/platform/standin"
)

// TestSecondRunsOfWholeHosts lets one of six targets be slow without saying so, at 50 requests a second through four hosts. It guards
// against a limit that does not reach the homes, against second runs beyond it, and against counters that miss some.
func TestSecondRunsOfWholeHosts(t *testing.T) {
	for _, limit := range []float64{settings.Unset, 0, 5} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			withSettings(t, func(s *settings.Settings) { s.SecondRuns.Runs, s.Retries.Window = limit, 2*time.Second }, 4, 6, func(f *fleet) {
				const requests = 600
				var group sync.WaitGroup
				for i := range requests {
					if i == requests/2 {
						f.targets["t1"].Update(func(x *standin.Target) { x.RunDuration = 600 * time.Millisecond })
					}
					group.Go(func() { f.call(fmt.Sprintf("h%d", i%4), http.MethodGet, "/lookup/1", fmt.Sprintf("r%d", i)) })
					time.Sleep(20 * time.Millisecond)
				}
				group.Wait()
				time.Sleep(200 * time.Millisecond) // for the counters
				extra, started, limited := 0, int64(0), 0
				for i := range requests {
					extra += f.arrivalsOf(fmt.Sprintf("r%d", i)) - 1
				}
				for _, n := range f.hosts {
					s, set := n.gateway.SecondRuns()
					started += s
					if set {
						limited++
					}
				}
				t.Logf("%d of %d requests ran twice, %d counted", extra, requests, started)
				switch limit {
				case settings.Unset:
					f.is.True(extra > 0)
					f.is.Equal(limited, 0)
				case 0:
					f.is.Equal(extra, 0)
				default:
					f.is.True(extra > 0)
					f.is.True(int64(extra) <= started) // some are canceled before they arrive
					f.is.True(float64(started) <= limit/100*requests)
				}
			})
		})
	}
}
