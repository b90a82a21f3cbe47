package note

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestSummaryIsBounded(t *testing.T) {
	for _, c := range []struct {
		rules int
		want  string
	}{
		{0, ""},
		{2, "set rules r0 r1"},
		{maxSummaryNames, "set rules r0 r1 r2 r3 r4 r5 r6 r7 r8 r9 r10 r11 r12 r13 r14 r15 r16 r17 r18 r19"},
		{1400, "set rules r0 r1 r2 r3 r4 r5 r6 r7 r8 r9 r10 r11 r12 r13 r14 r15 r16 r17 r18 r19 and 1380 more"},
	} {
		var n Note
		for i := range c.rules {
			n.Rules = append(n.Rules, Rule{Name: fmt.Sprintf("r%d", i)})
		}
		is.New(t).Equal(n.Summary(), c.want)
	}
}
