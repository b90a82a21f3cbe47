// Package soak tests fleets of real processes against random faults from outside: connections that are delayed, reset, cut or
// silenced, and processes that are stopped, paused, killed and started again. It holds tests only.
package soak
