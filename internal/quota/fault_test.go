package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBoundTestFindsFaults guards against a test of the bound that passes whatever the code does: each fault must break the bound
// in at least one of the drawn cases.
func TestBoundTestFindsFaults(t *testing.T) {
	for name, injected := range map[string]fault{"electors vote for all": votesForAll, "emergency tokens are not divided": undividedEmergency} {
		t.Run(name, func(t *testing.T) {
			found := false
			rapid.Check(t, func(t *rapid.T) {
				found = found || playDisturbances(t, injected) != nil
			})
			if !found {
				t.Fatal("no case broke the bound")
			}
		})
	}
}
