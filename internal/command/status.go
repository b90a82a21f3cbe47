package command

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"briarcroft/internal/operator"
)

type statusCommand struct {
	*baseCommand
	hostsOptions
	JSON bool `long:"json" description:"print the full status of the hosts as JSON"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: c.Timeout})
	defer closeClient()
	statuses := client.Status(context.Background())
	if c.JSON {
		return c.printJSON(statuses)
	}
	if err := c.printHosts(statuses); err != nil {
		return err
	}
	return c.printLatencies(statuses)
}

// printHosts prints one row for each host, with the error instead if its status could not be read.
func (c *statusCommand) printHosts(statuses []operator.HostStatus) error {
	table := tabwriter.NewWriter(c.out, 2, 4, 2, ' ', 0)
	fmt.Fprintln(table, "Address\tHost\tDomain\tReady\tLeaving\tNote\tHash\tIn force since\tPeers\tRequests")
	for _, s := range statuses {
		if s.Error != "" {
			fmt.Fprintf(table, "%s\t%s\n", s.Address, s.Error)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\t%.12s\t%s\t%d\t%d\n", s.Address, s.Status.Host, s.Status.Domain, s.Status.Ready,
			s.Status.Leaving, s.Note.Number, s.Note.Hash, s.Note.InForceSince.Format(time.RFC3339), len(s.Status.Peers), s.Status.Counters.Requests)
	}
	return table.Flush()
}

// printLatencies prints one row for each host, service and class of requests.
func (c *statusCommand) printLatencies(statuses []operator.HostStatus) error {
	table := tabwriter.NewWriter(c.out, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nHost\tService\tClass\tCount\tP50 us\tP99 us\tP99.9 us\tMax us\t")
	for _, s := range statuses {
		for _, l := range s.Status.Latency {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t\n", s.Status.Host, l.Service, l.Class, l.Count, l.P50, l.P99, l.P999, l.Max)
		}
	}
	return table.Flush()
}
