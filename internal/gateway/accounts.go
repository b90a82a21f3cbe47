package gateway

import (
	"net/http"
	"time"

	"briarcroft/internal/account"
	"briarcroft/internal/backend"
	"briarcroft/internal/placement"
	"briarcroft/internal/record"

	"github.com/joomcode/errorx"
)

// Reasons of responses to requests that carry no valid key.
const (
	reasonUnknownKey = "UnknownKey"
	// reasonConfigurationTooOld means that this host cannot tell whether the key is valid now, and has not sent the request.
	reasonConfigurationTooOld placement.Reason = "ConfigurationTooOld"
)

const (
	// maxUnknownKeyAge is the age of the knowledge of the store up to which a key is refused for good that this host does not
	// know. A configuration must be in force within this time; a host whose knowledge is older may have missed a new key.
	maxUnknownKeyAge = 2 * time.Second
	// tooOldRetryAfter is the Retry-After time of a host whose knowledge is too old. Hosts in touch ask the store within this time.
	tooOldRetryAfter = 500 * time.Millisecond
)

// identity says who sent a request.
type identity struct {
	// account is the client account; it is nil without accounts and on public rules.
	account *account.Account
	// credential is what the request carried, and accounts the index in which account was found.
	credential account.Credential
	accounts   *account.Index
}

// authenticate finds the client account of a request and returns nil, or the response if the request must not run. If the
// configuration has accounts, the request loses its key, and any account that the caller names; targetRequest names the true one. The
// result of mayAcceptKeys must be older than the index.
func (x *exchange) authenticate(index *ruleIndex, mayAcceptKeys bool) *callerResponse {
	g := x.gateway
	if index.accounts == nil {
		return nil
	}
	header := x.request.header
	values := header.Values(g.dialect.CredentialHeader)
	header.Del(g.dialect.CredentialHeader)
	header.Del(g.dialect.AccountHeader)
	if x.rule.Public {
		return nil
	}
	if !mayAcceptKeys {
		return x.refuseAllKeys()
	}
	credential, ok := account.ReadCredential(values)
	if !ok {
		return x.refuseKey()
	}
	x.credential, x.accounts = credential, index.accounts
	if x.account = index.accounts.Find(credential); x.account == nil {
		if g.config.BootTime()-time.Duration(g.knownAt.Load()) > maxUnknownKeyAge {
			return x.refuseTooOld()
		}
		return x.refuseKey()
	}
	return nil
}

// noteKnown records that this host knew the store as of a time, on the clock that counts suspension. After this host has stood still,
// a key that it does not know may be a new one.
func (g *Gateway) noteKnown(asOf time.Duration) {
	if g.rules.Load().accounts == nil {
		return
	}
	knownAt := int64(g.config.BootTime() - (g.now() - asOf))
	for old := g.knownAt.Load(); knownAt > old && !g.knownAt.CompareAndSwap(old, knownAt); old = g.knownAt.Load() {
	}
}

// refuseKey returns the response to a request without a valid key.
func (x *exchange) refuseKey() *callerResponse {
	x.gateway.stats.unknownKeys.Add(1)
	x.lastOutcome = reasonUnknownKey
	return localResponse(http.StatusUnauthorized, reasonUnknownKey, 0)
}

// refuseTooOld returns the response to a request with a key that this host cannot judge.
func (x *exchange) refuseTooOld() *callerResponse {
	x.gateway.stats.tooOld.Add(1)
	return x.refuse(placement.Refused{Reason: reasonConfigurationTooOld, RetryAfter: tooOldRetryAfter})
}

// refuseAllKeys returns the response to any request that needs a key while any key may have been withdrawn without this host knowing.
func (x *exchange) refuseAllKeys() *callerResponse {
	if g := x.gateway; !g.refusingKeys.Swap(true) {
		g.recordKeys(record.KeysRefused, "ProofOld")
	}
	return x.refuseTooOld()
}

// errWithheld reports that a request must not be sent although it was accepted, as its key may have been withdrawn since.
var errWithheld = namespace.NewType("withheld")

// withheldProperty is the property of an errWithheld with the reason for the caller.
var withheldProperty = errorx.RegisterProperty("reason")

// withheldReason returns the reason for which this host sent nothing, that is the one of an errWithheld or reasonNoDescriptor, or the
// empty string for any other error and for none.
func withheldReason(err error) placement.Reason {
	if errorx.IsOfType(err, backend.ErrNoDescriptor) {
		return reasonNoDescriptor
	}
	if !errorx.IsOfType(err, errWithheld) {
		return ""
	}
	reason, _ := errorx.Cast(err).Property(withheldProperty)
	return reason.(placement.Reason)
}

// checkKey returns errWithheld if the request must not be sent any more. It is called before each run.
func (x *exchange) checkKey() error {
	if x.account == nil {
		return nil
	}
	g := x.gateway
	if !g.mayAcceptKeys() {
		return errWithheld.New("the key may have been withdrawn, and this host cannot tell").WithProperty(withheldProperty, reasonConfigurationTooOld)
	}
	if x.sendBy > 0 && g.config.BootTime() > x.sendBy {
		// The time for which the host was suspended does not count in the context's deadline.
		return errWithheld.New("the request's time has passed while the host stood still").WithProperty(withheldProperty, placement.ReasonDeadlineCannotBeMet)
	}
	index := g.rules.Load()
	if index.accounts != x.accounts && index.accounts != nil && index.accounts.Find(x.credential) == nil {
		return errWithheld.New("the key was withdrawn").WithProperty(withheldProperty, placement.Reason(reasonUnknownKey))
	}
	return nil
}

// refuseWithheld returns the response to a request that was accepted and is not sent again.
func (x *exchange) refuseWithheld(reason placement.Reason) *callerResponse {
	switch {
	case reason == reasonConfigurationTooOld:
		return x.refuseAllKeys()
	case x.mayHaveRun || x.targetFailure != nil:
		return x.refuse(placement.Refused{Reason: reason})
	case reason == placement.ReasonDeadlineCannotBeMet, reason == reasonNoDescriptor:
		return x.refuse(placement.Refused{Reason: reason, RetryAfter: refusedRetryAfter})
	}
	return x.refuseKey()
}

// accountName returns the name of the account that sent the request; it is empty without accounts.
func (x *identity) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// accountPriority returns the priority of the account that sent the request; it is 0 without accounts.
func (x *identity) accountPriority() int {
	if x.account == nil {
		return 0
	}
	return x.account.Priority
}

// refusedKey returns the fingerprint of the request's key if no account has it; it is empty without a key.
func (x *identity) refusedKey() string {
	if x.account != nil || x.credential == (account.Credential{}) {
		return ""
	}
	return x.credential.String()
}
