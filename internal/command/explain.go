package command

import (
	"context"
	"fmt"
	"time"

	"briarcroft/internal/operator"
	"briarcroft/internal/record"
)

type explainCommand struct {
	*root
	hostsOption
	Target string        `long:"target" description:"only records that concern this target, and those that concern all"`
	Since  time.Duration `long:"since" default:"1h" description:"how far back"`
	JSON   bool          `long:"json" description:"print the records as JSON"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: c.Timeout})
	defer closeClient()
	e := client.Explain(context.Background(), c.Target, time.Now().Add(-c.Since))
	if c.JSON {
		return c.json(e)
	}
	for _, r := range e.Records {
		fmt.Fprintln(c.out, line(r))
	}
	for _, missing := range e.Missing {
		fmt.Fprintf(c.err, "no records from %s\n", missing)
	}
	if len(e.Missing) > 0 {
		return ErrDisagrees.New("%d hosts gave no records", len(e.Missing))
	}
	return nil
}

// line returns a record as one plain line.
func line(r record.Record) string {
	text := fmt.Sprintf("%s %s note %d: %s", r.Time.Format("2006-01-02T15:04:05.000Z"), r.Host, r.Note, r.Kind)
	if r.Service != "" {
		text += " service " + r.Service
	}
	if r.Target != "" {
		text += " target " + r.Target
	}
	if r.From != "" || r.To != "" {
		text += fmt.Sprintf(" from %q to %q", r.From, r.To)
	}
	if r.Cause != "" {
		text += ", cause " + r.Cause
	}
	return text + evidence(r.Evidence)
}

func evidence(e record.Evidence) string {
	text := ""
	if e.Failures > 0 {
		text += fmt.Sprintf(", %d failures in a row", e.Failures)
	}
	if e.Latency > 0 {
		text += fmt.Sprintf(", latency %v against %v usual", e.Latency.Round(10*time.Microsecond), e.Usual.Round(10*time.Microsecond))
	}
	if e.Queued > 0 {
		text += fmt.Sprintf(", %d queued", e.Queued)
	}
	for _, detail := range []string{e.Peer, e.Hash, e.Detail} {
		if detail != "" {
			text += ", " + detail
		}
	}
	return text
}
