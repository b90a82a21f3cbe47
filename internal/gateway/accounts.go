package gateway

import (
	"net/http"
	"time"

	"briarcroft/internal/account"
	"briarcroft/internal/placement"
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

// authenticate finds the client account of a request and returns nil, or the response if the request must not run. If the
// configuration has accounts, the request loses its key and names its account to the target.
func (x *exchange) authenticate(index *ruleIndex) *callerResponse {
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
	credential, ok := account.ReadCredential(values)
	if !ok {
		return x.refuseKey()
	}
	x.credential = credential
	if x.account = index.accounts.Find(credential); x.account == nil {
		if g.roster.Confirmed().Revision == 0 || g.knowledgeAge() > maxUnknownKeyAge {
			g.stats.tooOld.Add(1)
			return x.refuse(placement.Refused{Reason: reasonConfigurationTooOld, RetryAfter: tooOldRetryAfter})
		}
		return x.refuseKey()
	}
	header.Set(g.dialect.AccountHeader, x.account.Name)
	return nil
}

// refuseKey returns the response to a request without a valid key.
func (x *exchange) refuseKey() *callerResponse {
	x.gateway.stats.unknownKeys.Add(1)
	x.lastOutcome = reasonUnknownKey
	return localResponse(http.StatusUnauthorized, reasonUnknownKey, 0)
}

// accountName returns the name of the account that sent the request; it is empty without accounts.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// accountPriority returns the priority of the account that sent the request; it is 0 without accounts.
func (x *exchange) accountPriority() int {
	if x.account == nil {
		return 0
	}
	return x.account.Priority
}

// refusedKey returns the fingerprint of the request's key if no account has it; it is empty without a key.
func (x *exchange) refusedKey() string {
	if x.account != nil || x.credential == (account.Credential{}) {
		return ""
	}
	return x.credential.String()
}
