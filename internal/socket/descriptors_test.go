package socket

import "testing"

// TestCallerLimit guards against a limit of callers' connections that leaves no descriptors for the work on their requests.
func TestCallerLimit(t *testing.T) {
	for _, c := range []struct{ descriptors, others, least, most int }{
		{4100, 100, 2000, 2700}, {4100, 1500, 1000, 4100 - 200 - 1500}, {120, 10, 40, 70}, {48, 6, 16, 28}, {64, 200, 1, 1}, {1 << 20, 100, 1 << 19, 1 << 20},
	} {
		limit := CallerLimit(c.descriptors, c.others)
		if limit < c.least || limit > c.most {
			t.Errorf("%d descriptors, %d others: %d, want %d to %d", c.descriptors, c.others, limit, c.least, c.most)
		}
	}
}
