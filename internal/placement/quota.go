package placement

import (
	"time"

	"briarcroft/internal/quota"
)

// tokenState is what a request has of the allowance of its account.
type tokenState struct {
	// token allows the next run of the request if held is set.
	token quota.Token
	held  bool
	// waiting is set while the request waits for a token, since the given time of Config.BootTime.
	waiting bool
	since   time.Duration
	// retryAfter is when there will be room for the request if it was refused.
	retryAfter time.Duration
}

// needsToken reports whether the allowance of an account limits the request.
func (h *Home) needsToken(r *Request) bool { return h.config.Allowances != nil && r.Account != "" }

// bootTime returns Config.BootTime. It is read once for each time of the home's clock, because every queued request needs it.
func (h *Home) bootTime(now time.Duration) time.Duration {
	if h.bootTimeAt != now || h.lastBootTime == 0 {
		h.bootTimeAt, h.lastBootTime = now, h.config.BootTime()
	}
	return h.lastBootTime
}

// reserveToken gives the request a token, or lets it wait for one. It returns false if the allowance of its account is spent.
func (h *Home) reserveToken(now time.Duration, r *Request) bool {
	s := &r.allowance
	if !h.needsToken(r) {
		return true
	}
	bootTime := h.bootTime(now)
	if s.held && s.token.Usable(bootTime) {
		return true
	}
	h.returnHeldToken(r)
	waited := s.waiting
	if !waited {
		s.since = bootTime
	}
	token, answer, retryAfter := h.config.Allowances.Take(bootTime, r.Account, waited, waited && bootTime-s.since >= quota.MaxWait)
	s.waiting = answer == quota.Waiting
	s.token, s.held, s.retryAfter = token, answer == quota.Taken, retryAfter
	if s.waiting && !waited && h.config.OnTokenWanted != nil {
		h.config.OnTokenWanted()
	}
	return answer != quota.Spent
}

// returnToken gives back the token of a request that is not placed.
func (h *Home) returnToken(r *Request) {
	if r.allowance.waiting {
		r.allowance.waiting = false
		h.config.Allowances.StopWaiting(r.Account)
	}
	h.returnHeldToken(r)
}

func (h *Home) returnHeldToken(r *Request) {
	if r.allowance.held {
		r.allowance.held = false
		h.config.Allowances.Give(r.allowance.token)
	}
}

// spendToken spends the token of a request whose run starts, and returns it.
func (h *Home) spendToken(now time.Duration, r *Request) quota.Token {
	if !r.allowance.held {
		return quota.Token{}
	}
	r.allowance.held = false
	h.config.Allowances.Spend(h.bootTime(now), r.allowance.token)
	return r.allowance.token
}

// reserveHedgeToken reports whether the allowance leaves room for a hedge now, and gives the request a token for it.
func (h *Home) reserveHedgeToken(now time.Duration, r *Request) bool {
	if !h.needsToken(r) {
		return true
	}
	r.allowance.token, r.allowance.held = h.config.Allowances.TryTake(h.bootTime(now), r.Account)
	return r.allowance.held
}

// unspendToken gives back the token of a run that certainly did not run.
func (h *Home) unspendToken(ended *run, outcome Outcome) {
	switch outcome {
	case OutcomeNotRun, OutcomeUnreachable, OutcomeOtherServer, OutcomeBlocked:
		if h.config.Allowances != nil {
			h.config.Allowances.Unspend(ended.token)
		}
	}
}

// AwaitsTokens reports whether a queued request waits for a token, so that Dispatch should be called when some arrive.
func (h *Home) AwaitsTokens() bool {
	for _, r := range h.queue {
		if r.allowance.waiting {
			return true
		}
	}
	return false
}
