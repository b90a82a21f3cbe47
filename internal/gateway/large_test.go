package gateway_test

import (
	"fmt"
	"testing"
	"time"
)

// Size of the configuration and bandwidth of the hosts' links in the tests of this file.
const (
	largeConfigurationRules = 1400
	thinLinkBytesPerSecond  = 10e6 / 8
)

// largeRules returns the rules of a configuration whose value in the store has about 250 KB.
func largeRules() []rule {
	rules := []rule{safeRule("lookup", "/lookup/"), unsafeRule("order", "/order/")}
	for i := range largeConfigurationRules {
		// Multiplying by a large odd number makes names that do not compress like a sequence of numbers.
		name := fmt.Sprintf("%08x", uint32(i+1)*2654435761)
		rules = append(rules, safeRule("r-"+name, "/"+name+"/"))
	}
	return rules
}

// withThinLinks runs a test with hosts whose links are thin.
func withThinLinks(t *testing.T, hosts int, run func(f *fleet)) {
	withFleet(t, hosts, 4, func(f *fleet) {
		for name := range f.hosts {
			f.net.SetBandwidth(name, thinLinkBytesPerSecond)
		}
		run(f)
	})
}

// hostsWithoutNote returns the number of hosts on which an older note than the given one is in force.
func (f *fleet) hostsWithoutNote(number int) int {
	count := 0
	for _, n := range f.hosts {
		if n.gateway.NoteNumber() < number {
			count++
		}
	}
	return count
}

// bytesSent returns the number of bytes that each host has sent.
func (f *fleet) bytesSent() map[string]int64 {
	sent := map[string]int64{}
	for name := range f.hosts {
		sent[name] = f.net.BytesSent(name)
	}
	return sent
}

// TestLargeConfigurationOnThinLinks guards against a distribution of the store's changes that takes longer the more
// hosts there are: a large configuration is in force everywhere in time, and no host loses the store meanwhile.
func TestLargeConfigurationOnThinLinks(t *testing.T) {
	for _, hosts := range []int{13, 100} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			withThinLinks(t, hosts, func(f *fleet) {
				f.configure(2, largeRules()...)
				started := time.Now()
				for f.hostsWithoutNote(2) > 0 && time.Since(started) < 20*time.Second {
					time.Sleep(100 * time.Millisecond)
				}
				t.Logf("in force on %d of %d hosts after %v", hosts-f.hostsWithoutNote(2), hosts, time.Since(started))
				f.is.True(time.Since(started) <= inForceTimeLimit)
				for _, n := range f.hosts {
					f.is.True(!n.gateway.StoreLost())
				}
			})
		})
	}
}

// TestBusiestHostSendsFewCopies guards against a host that serves the whole fleet: one change costs each host the copies
// for its followers, whatever the size of the fleet.
func TestBusiestHostSendsFewCopies(t *testing.T) {
	for _, hosts := range []int{13, 100} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			withFleet(t, hosts, 4, func(f *fleet) {
				before := f.bytesSent()
				size := int64(f.configure(2, largeRules()...))
				time.Sleep(inForceTimeLimit)
				f.is.Equal(f.hostsWithoutNote(2), 0)
				busiest := int64(0)
				for name, sent := range f.bytesSent() {
					busiest = max(busiest, sent-before[name])
				}
				t.Logf("the busiest host sends %d bytes for a configuration of %d", busiest, size)
				f.is.True(busiest <= 5*size) // four followers, and as much again as one of them for all other traffic
			})
		})
	}
}

// TestReconnectsSendNoEntriesAgain guards against load that grows with failure: hosts whose connections were reset get
// the changes that they missed, not all entries.
func TestReconnectsSendNoEntriesAgain(t *testing.T) {
	withThinLinks(t, 12, func(f *fleet) {
		f.configure(2, largeRules()...)
		time.Sleep(10 * time.Second)
		f.is.Equal(f.hostsWithoutNote(2), 0)
		before := f.bytesSent()
		for name := range f.hosts {
			f.net.ResetConnections(name)
		}
		time.Sleep(5 * time.Second)
		for name, sent := range f.bytesSent() {
			f.is.True(sent-before[name] < 150<<10) // less than one copy, at 20 KB a second for all traffic between hosts
		}
	})
}
