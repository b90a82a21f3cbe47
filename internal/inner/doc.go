// Package inner implements the RPC protocol between the entry hosts of a fleet, called peers here: the drpc messages of
// inner.proto, a server, a client with pooled connections, and the heartbeat exchange on top of them. Peers listen for
// it at their inner address, apart from the address for callers.
//
// A service has homes among the entry hosts. Its home decides for all hosts which target, that is, which backend
// server, runs each request; the hosts reach it through the Place call.
package inner
