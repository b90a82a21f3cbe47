package command

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"briarcroft/internal/measure"

	"github.com/jessevdk/go-flags"
)

type measureCommand struct {
	*baseCommand
	Hosts   []string      `long:"host" required:"true" description:"address of an entry host; several only with --control"`
	Direct  string        `long:"direct" description:"address of a backend server to compare with"`
	Path    string        `long:"path" default:"/measure" description:"path to request"`
	Rates   []int         `long:"rate" default:"500" default:"1000" default:"2000" description:"requests a second; may be given several times"`
	Length  time.Duration `long:"length" default:"5s" description:"how long to send at each rate, or to observe with --control"`
	Control bool          `long:"control" description:"send no requests and show the resources that the hosts use"`
	JSON    bool          `long:"json" description:"print the figures as JSON"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	if c.Control {
		return c.printIdleUsage()
	}
	if len(c.Hosts) != 1 || c.Direct == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "give one --host and one --direct, or --control"}
	}
	var steps []measure.Step
	for _, rate := range c.Rates {
		if rate < 1 {
			return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--rate must be 1 or more"}
		}
		step, err := measure.Run(context.Background(), measure.Config{EntryHost: c.Hosts[0], Backend: c.Direct, Path: c.Path, Duration: c.Length, Seed: 1}, rate)
		if err != nil {
			return err
		}
		steps = append(steps, step)
	}
	if c.JSON {
		return c.printJSON(steps)
	}
	return c.printSteps(steps)
}

// printSteps prints one row for each rate: latencies without and with the entry host, and their differences.
func (c *measureCommand) printSteps(steps []measure.Step) error {
	table := tabwriter.NewWriter(c.out, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "Rate\tDirect P50 us\tP99\tP99.9\tThrough P50 us\tP99\tP99.9\tAdded P50 us\tP99\tP99.9\tCore us/request\tAllocations/request\tFailed\t")
	for _, s := range steps {
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.0f\t%d\t\n", s.Rate, s.Direct.P50, s.Direct.P99, s.Direct.P999,
			s.Through.P50, s.Through.P99, s.Through.P999, s.Through.P50-s.Direct.P50, s.Through.P99-s.Direct.P99, s.Through.P999-s.Direct.P999,
			float64(s.CorePerRequest.Nanoseconds())/1000, s.AllocationsPerRequest, s.Through.Failed+s.Direct.Failed)
	}
	return table.Flush()
}

// printIdleUsage prints the processor time, traffic to peers and memory that each host uses; it sends no requests
// meanwhile.
func (c *measureCommand) printIdleUsage() error {
	usages, err := measure.RunIdle(context.Background(), c.Hosts, c.Length)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(usages)
	}
	table := tabwriter.NewWriter(c.out, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "Host\tCore %\tSent B/s\tReceived B/s\tHeap MB\tSystem MB\tGoroutines\t")
	for _, usage := range usages {
		fmt.Fprintf(table, "%s\t%.2f\t%.0f\t%.0f\t%.1f\t%.1f\t%d\t\n", usage.Host, 100*usage.CoreShare, usage.SentPerSec, usage.ReceivedPerSec,
			float64(usage.HeapBytes)/(1<<20), float64(usage.SystemBytes)/(1<<20), usage.Goroutines)
	}
	return table.Flush()
}
