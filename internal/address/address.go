// Package address holds the answer that tells callers which entry hosts to connect to.
package address

// Address is one entry host that a caller may connect to.
type Address struct {
	Host        string
	Address     string
	Domain      string
	Incarnation uint64
}

// Response lists entry hosts for a service, best first.
type Response struct {
	Service string
	// MaxAge is how long the answer may be kept, in seconds.
	MaxAge int
	// Grant begins the Idempotency-Key of requests that may run at most once.
	Grant string
	// GrantHost is the host that runs requests with the grant; others pass them on to it.
	GrantHost string
	Note      int
	Addresses []Address
}
