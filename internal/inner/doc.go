// Package inner is the RPC protocol between the entry hosts of a fleet, called peers here: the drpc messages of
// inner.proto, a server, a client with pooled connections, and the heartbeat exchange on top of them. Peers listen for
// it at their inner address, apart from the address for callers.
//
// A service has homes among the entry hosts; its home decides for all hosts which target runs each request, and they
// reach it through the Place call.
package inner
