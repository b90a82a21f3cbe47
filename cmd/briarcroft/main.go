// Command briarcroft is a load balancer whose entry hosts recover from failures on their own and record what they
// changed and why. The command serve runs an entry host; the other commands publish configurations, inspect entry hosts
// and measure or try out the load balancer. Run briarcroft --help for a list.
package main

import (
	"os"

	"briarcroft/internal/command"
)

func main() {
	os.Exit(command.Run(command.Config{Arguments: os.Args[1:], Out: os.Stdout, Err: os.Stderr}))
}
