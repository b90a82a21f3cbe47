package gateway_test

import "briarcroft/platform/standin"

// Faults of the store that tests switch on and off.
var (
	standinRefusal = standin.Faults{Status: 503}
	standinHealthy = standin.Faults{}
)
