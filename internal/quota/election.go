package quota

import (
	"slices"
	"time"
)

const (
	// VoteTime is how long a vote is valid: for the candidate from the time at which it asked, for the elector from the time at
	// which it answered, which is later.
	VoteTime = 450 * time.Millisecond
	// joinDelay is how long a host must have been an elector that sees most of the fleet, without standing still, before it votes.
	// Others see a host for up to 2.5 s after it has gone (host.deadAfter), so that the electors of two parts of a divided fleet may
	// differ for as long. With 1 s there were two holders when a host went over to the other part soon after the division.
	joinDelay = 2700 * time.Millisecond
	// youngDelay replaces joinDelay while the whole fleet has just started.
	youngDelay = time.Second
	// standDelay is for how long the vote of an elector must have been free before it asks for votes itself, for each elector
	// that ranks before it. Otherwise all of them would ask at the same time, and none would get a majority.
	standDelay = 100 * time.Millisecond
	// maxUpdateGap is the time without a call of setElectors after which this host counts as having stood still. It may know
	// electors that the others have replaced, so that it begins anew as one.
	maxUpdateGap = 600 * time.Millisecond
)

// candidate identifies one start of a host that asks for votes.
type candidate struct {
	host        string
	incarnation uint64
}

// election is the part of an elector in the election of the holder, and its term as holder if it has been elected. At any time
// at most one host is elected while hosts agree on the electors: each votes for one candidate at a time, and a term ends when
// the candidate's majority of votes does.
type election struct {
	self candidate
	// electors are in the order of their rank. elector is set while this host is one of them and sees most hosts of the fleet. It
	// may vote from votesFrom on.
	electors  []string
	elector   bool
	votesFrom time.Duration
	// updatedAt is when setElectors was last called.
	updatedAt time.Duration
	// voted is the candidate that has this host's vote until votedUntil.
	voted      candidate
	votedUntil time.Duration
	// votes holds until when this host has the votes of other electors.
	votes map[string]time.Duration
}

// setElectors sets the electors, best first, and whether this host sees most hosts of the fleet. Without that it neither votes nor
// holds, as another part of the fleet may elect a holder. YoungFleet is set while all hosts that it sees have just started.
func (e *election) setElectors(now time.Duration, electors []string, majority, youngFleet bool) {
	is := majority && slices.Contains(electors, e.self.host)
	if is && (!e.elector || now-e.updatedAt > maxUpdateGap) {
		e.votesFrom = now + joinDelay
		if youngFleet {
			e.votesFrom = now + youngDelay
		}
	}
	e.elector, e.electors, e.updatedAt = is, electors, now
	for host := range e.votes {
		if !slices.Contains(electors, host) {
			delete(e.votes, host)
		}
	}
}

// mayVote reports whether this host has been an elector for long enough.
func (e *election) mayVote(now time.Duration) bool {
	return e.elector && now >= e.votesFrom && now-e.updatedAt <= maxUpdateGap
}

// vote answers a candidate that asks for this host's vote.
func (e *election) vote(now time.Duration, c candidate) bool {
	if !e.mayVote(now) || !slices.Contains(e.electors, c.host) {
		return false
	}
	if c != e.voted && now < e.votedUntil {
		return false
	}
	e.voted, e.votedUntil = c, now+VoteTime
	return true
}

// stand returns the electors to ask for their votes, and false if this host must not ask now.
func (e *election) stand(now time.Duration) ([]string, bool) {
	rank := slices.Index(e.electors, e.self.host)
	if !e.mayVote(now) {
		return nil, false
	}
	free := max(e.votedUntil, e.votesFrom)
	if now >= e.heldUntil() && now < free+time.Duration(rank)*standDelay {
		return nil, false
	}
	e.voted, e.votedUntil = e.self, now+VoteTime
	others := slices.Clone(e.electors)
	return slices.DeleteFunc(others, func(host string) bool { return host == e.self.host }), true
}

// recordVote records the vote of an elector that was asked at a time.
func (e *election) recordVote(asked time.Duration, elector string) {
	if slices.Contains(e.electors, elector) {
		e.votes[elector] = max(e.votes[elector], asked+VoteTime)
	}
}

// concede frees this host's own vote if a round of asking has not brought a majority.
func (e *election) concede(now time.Duration) {
	if e.voted == e.self && now >= e.heldUntil() {
		e.votedUntil = now
		clear(e.votes)
	}
}

// heldUntil returns until when this host has a majority of votes.
func (e *election) heldUntil() time.Duration {
	if !e.elector || e.voted != e.self {
		return 0
	}
	ends := []time.Duration{e.votedUntil}
	for _, until := range e.votes {
		ends = append(ends, until)
	}
	majority := len(e.electors)/2 + 1
	if len(ends) < majority {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-majority]
}
