package command

import (
	"context"
	"time"

	"briarcroft/internal/demo"

	"github.com/jessevdk/go-flags"
)

type demoCommand struct {
	*baseCommand
	Deployment string        `long:"deployment" default:"stalverk" choice:"stalverk" choice:"kiosques" description:"deployment to run"`
	Length     time.Duration `long:"length" default:"10s" description:"how long callers send"`
	Rate       float64       `long:"rate" default:"1" description:"factor on every rate"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the callers and targets"`
	Verbose    bool          `long:"verbose" description:"write the hosts' structured logs to the error stream"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if c.Length < 2*time.Second || c.Rate <= 0 {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--length must be 2s or more and --rate above zero"}
	}
	level := "error"
	if c.Verbose {
		level = "info"
	}
	for _, d := range demo.Deployments {
		if d.Name == c.Deployment {
			return demo.Run(context.Background(), demo.Config{
				Deployment: d, Duration: c.Length, RateFactor: c.Rate, Seed: c.Seed, Out: c.out, Logger: c.newLogger(level),
			})
		}
	}
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: "unknown deployment " + c.Deployment}
}
