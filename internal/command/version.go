package command

import (
	"fmt"
	"runtime"
)

// Version is the version of the program; a build can set it with -ldflags -X.
var Version = "development"

type versionCommand struct {
	*baseCommand
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.out, "briarcroft %s %s\n", Version, runtime.Version())
	return err
}
