// Package soak holds a soak test: it runs several entry hosts as processes under load while random faults occur.
// Connections are delayed, reset, blocked or lose all data, the store and the backend servers fail, and processes are
// stopped, paused, killed and restarted, in series and at once. Signals repeat, settings are rewritten, logs are not read and
// descriptors run out meanwhile. Callers keep their connections until the hosts close them. It contains only tests.
package soak
