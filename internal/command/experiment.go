package command

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"briarcroft/internal/model"

	"github.com/jessevdk/go-flags"
)

type experimentCommand struct {
	*baseCommand
	Load   string  `long:"load" description:"simulate only loads whose name starts with this; ladder- are those with callers that come back"`
	Policy string  `long:"policy" description:"simulate only policies whose name starts with this"`
	Use    float64 `long:"use" description:"request rate as a multiple of the capacity of the servers that are not slowed down; by default that of the load"`
	Seed   uint64  `long:"seed" default:"1" description:"seed of the first run"`
	Runs   uint64  `long:"runs" default:"1" description:"number of runs, with consecutive seeds"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Load\tPolicy\tSeed\tAsked\tInGoal\tLate\tRefused\tLost\tWorth\tP50\tP99\tProbes/s\tRepeats\tAtOnce\tWaited\tReturns\tServed\tPatient\tImpatient")
	simulated := 0
	workloads := model.Workloads()
	if strings.HasPrefix(c.Load, "ladder") {
		workloads = model.Ladder()
	}
	for _, workload := range workloads {
		if !strings.HasPrefix(workload.Name, c.Load) {
			continue
		}
		if c.Use > 0 {
			workload.OfferedLoad = c.Use
		}
		for _, policy := range model.Policies() {
			if !strings.HasPrefix(policy.Name(), c.Policy) {
				continue
			}
			for seed := c.Seed; seed < c.Seed+c.Runs; seed++ {
				workload.Seed = seed
				result := model.Simulate(policy, workload)
				simulated++
				fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%v\t%v\t%.1f\t%.3f\t%d\t%d\t%d\t%d\t%.3f\t%.3f\n",
					result.Workload, result.Policy, seed, result.Requests, result.InGoal, result.Late, result.Refused, result.Lost, result.Utility, result.P50, result.P99, result.Probes, result.ExtraAttempts,
					result.RefusedAtOnce, result.RefusedWaiting, result.Returns, result.ReturnsServed, result.PatientWorth, result.ImpatientWorth)
			}
		}
	}
	if simulated == 0 {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "no load or policy name starts with the given text; leave --load and --policy out to see all"}
	}
	return table.Flush()
}
