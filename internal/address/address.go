// Package address declares the body of the response to GET /Addresses, by which an entry host tells callers to which
// entry hosts they should connect. It is encoded as JSON under the names of its fields.
package address

// Address is one entry host that a caller may connect to.
type Address struct {
	// Host is the name of the entry host.
	Host string
	// Address is its address for callers, as IP:PORT.
	Address string
	// Domain is its failure domain.
	Domain string
	// Incarnation is higher after each start of the host.
	Incarnation uint64
}

// Response lists the entry hosts for a service.
type Response struct {
	Service string
	// MaxAge is how long callers may cache the response, in seconds.
	MaxAge int
	// Grant is the prefix of the Idempotency-Key of requests that must run at most once.
	Grant string
	// GrantHost is the entry host that issued the grant and runs the requests with it; other entry hosts forward them
	// to it.
	GrantHost string
	// Note is the number of the release note in force, that is, of the revision of the configuration.
	Note int
	// Addresses are the entry hosts, the most suitable one for the caller first.
	Addresses []Address
}
