package command

import (
	"fmt"
	"runtime"
)

// Version is set by the build.
var Version = "development"

type versionCommand struct {
	*baseCommand
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.out, "briarcroft %s %s\n", Version, runtime.Version())
	return err
}
