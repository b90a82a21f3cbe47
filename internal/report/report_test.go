package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/entry"
	"briarcroft/internal/meter"
	"briarcroft/internal/operator"
	"briarcroft/internal/record"
	"briarcroft/internal/steering"

	"github.com/matryer/is"
)

// TestPage checks the positions and sums of a page, and that the HTML contains findings and escapes texts of operators.
func TestPage(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)
	stateChange := func(seconds int, to, cause string) record.Record {
		return record.Record{
			Time: start.Add(time.Duration(seconds) * time.Second), Host: "entry-1", Kind: record.TargetMoved, Service: "s", Target: "t", To: to, Cause: cause,
		}
	}
	status := func(host string, offered int64) operator.HostStatus {
		return operator.HostStatus{Status: entry.Status{
			Host: host, Latency: []meter.Summary{{Service: "s", Class: "c", Count: 5, P50: 1000, P99: 4000}},
			Services: []steering.Status{{Service: "s", Counts: []steering.CountStatus{{Class: "c", Domain: "d", Offered: offered}}}},
		}}
	}
	source := Source{
		Made: start, Stretch: record.TimeRange{From: start, To: start.Add(100 * time.Second)},
		Verification: operator.Verification{Number: 2, Findings: []operator.Finding{{Host: "entry-1", Agrees: true}, {Host: "odd", Detail: "has note 1 in force; the newest is 2"}}},
		Hosts:        []operator.HostStatus{status("entry-1", 3), status("entry-2", 4)},
		Explanation: operator.Explanation{Records: []record.Record{
			stateChange(-50, "Live", "AddedByNote"), stateChange(40, "Ejected", "FailuresInARow"), stateChange(60, "Ramping", "EjectionEnded"),
			{Time: start, Host: "entry-1", Kind: record.NoteAdopted, Note: 2, Evidence: record.Evidence{Detail: "<script>alert(1)</script>", Hash: "0123456789abcdef"}},
		}},
	}
	p := newPage(source)
	bars := p.Services[0].Plot.Rows[0].Bars
	is.Equal(len(bars), 3)
	is.Equal(bars[1].X, labelWidth+plotWidth*0.4)
	is.Equal(bars[1].Width, plotWidth*0.2)
	is.Equal(p.Counts[0].Offered, int64(7)) // summed over hosts
	is.Equal(p.Latencies[0].Bar99, float64(maxBarWidth))
	var b bytes.Buffer
	is.NoErr(Write(&b, source))
	is.True(strings.Contains(b.String(), "has note 1 in force; the newest is 2"))
	is.True(strings.Contains(b.String(), `class="Ejected"`))
	is.True(!strings.Contains(b.String(), "<script>")) // texts written by operators are escaped
}
