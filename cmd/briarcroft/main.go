// Command briarcroft is a load balancer whose entry hosts repair themselves and explain what they did.
package main

import (
	"os"

	"briarcroft/internal/command"
)

func main() {
	os.Exit(command.Run(command.Config{Arguments: os.Args[1:], Out: os.Stdout, Err: os.Stderr}))
}
