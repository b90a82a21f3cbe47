package command

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"briarcroft/internal/model"

	"github.com/jessevdk/go-flags"
)

type experimentCommand struct {
	*root
	Load   string  `long:"load" description:"play only loads whose name begins so"`
	Policy string  `long:"policy" description:"play only policies whose name begins so"`
	Use    float64 `long:"use" description:"rate of requests, relative to what quiet servers carry; the load's own if left out"`
	Seed   uint64  `long:"seed" default:"1" description:"seed of the first run"`
	Runs   uint64  `long:"runs" default:"1" description:"runs with one seed after the other"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Load\tPolicy\tSeed\tAsked\tInGoal\tLate\tRefused\tLost\tWorth\tP50\tP99\tProbes/s\tRepeats")
	played := 0
	for _, load := range model.Workloads() {
		if !strings.HasPrefix(load.Name, c.Load) {
			continue
		}
		if c.Use > 0 {
			load.OfferedLoad = c.Use
		}
		for _, policy := range model.Policies() {
			if !strings.HasPrefix(policy.Name(), c.Policy) {
				continue
			}
			for seed := c.Seed; seed < c.Seed+c.Runs; seed++ {
				load.Seed = seed
				r := model.Simulate(policy, load)
				played++
				fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%v\t%v\t%.1f\t%.3f\n",
					r.Workload, r.Policy, seed, r.Requests, r.InGoal, r.Late, r.Refused, r.Lost, r.Utility, r.P50, r.P99, r.Probes, r.ExtraAttempts)
			}
		}
	}
	if played == 0 {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "no load or policy has such a name; leave --load and --policy out to see all"}
	}
	return table.Flush()
}
