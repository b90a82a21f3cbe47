package command

import (
	"context"
	"fmt"
	"slices"
	"time"

	"briarcroft/internal/operator"
	"briarcroft/internal/quota"
	"briarcroft/internal/record"

	"github.com/jessevdk/go-flags"
)

type explainCommand struct {
	*baseCommand
	hostsOptions
	Target  string        `long:"target" description:"show only records that concern this target or all targets"`
	Account string        `long:"account" description:"show what hosts, as homes, have granted and refused of the allowance of this client account"`
	Since   time.Duration `long:"since" default:"1h" description:"how far back to look"`
	Why     bool          `long:"why" description:"show when the target was not eligible for requests, and why"`
	From    string        `long:"from" description:"start of the period to explain, as 2006-01-02T15:04:05Z; replaces --since"`
	To      string        `long:"to" description:"end of the period, as 2006-01-02T15:04:05Z; now if left out"`
	JSON    bool          `long:"json" description:"print the records, or with --why the intervals, as JSON"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	period, err := c.timeRange(time.Now())
	if err != nil {
		return err
	}
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: c.Timeout})
	defer closeClient()
	if c.Account != "" {
		return c.printAccount(client.Account(context.Background(), c.Account))
	}
	if c.Why {
		// The records of all times are requested: the one that tells the target's state at the start of the period can be
		// older than the period.
		return c.printTimeline(client.Explain(context.Background(), c.Target, time.Time{}), period)
	}
	e := client.Explain(context.Background(), c.Target, period.From)
	e.Records = slices.DeleteFunc(e.Records, func(r record.Record) bool { return r.Time.After(period.To) })
	if c.JSON {
		return c.printJSON(e)
	}
	for _, r := range e.Records {
		fmt.Fprintln(c.out, formatRecord(r))
	}
	return c.reportMissing(e)
}

// printAccount prints what hosts say of the allowance of an account; it returns ErrFindings if a host has not answered.
func (c *explainCommand) printAccount(hosts []operator.AccountCounts) error {
	if c.JSON {
		return c.printJSON(hosts)
	}
	var total quota.Counts
	missing := 0
	for _, h := range hosts {
		if h.Error != "" {
			fmt.Fprintf(c.err, "no counters from %s: %s\n", h.Address, h.Error)
			missing++
			continue
		}
		limit := "no allowance in its configuration"
		if h.Known {
			limit = fmt.Sprintf("allowance %g/s, burst %g", h.Rate, h.Burst)
		}
		fmt.Fprintf(c.out, "%s: %s; granted %d, spent %d (%d emergency), refused %d\n", h.Address, limit, h.Granted, h.Spent, h.Emergency, h.Refused)
		total.Spent, total.Refused = total.Spent+h.Spent, total.Refused+h.Refused
	}
	fmt.Fprintf(c.out, "account %q on %d hosts: spent %d, refused %d since they started\n", c.Account, len(hosts)-missing, total.Spent, total.Refused)
	if missing > 0 {
		return ErrFindings.New("%d hosts gave no counters", missing)
	}
	return nil
}

// timeRange returns the period that --since, --from and --to select.
func (c *explainCommand) timeRange(now time.Time) (record.TimeRange, error) {
	period := record.TimeRange{From: now.Add(-c.Since), To: now}
	if c.Why && c.Target == "" {
		return period, &flags.Error{Type: flags.ErrRequired, Message: "--why needs --target"}
	}
	for _, option := range []struct {
		name, value string
		at          *time.Time
	}{{"--from", c.From, &period.From}, {"--to", c.To, &period.To}} {
		if option.value == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, option.value)
		if err != nil {
			return period, &flags.Error{Type: flags.ErrMarshal, Message: option.name + " is not a time; write it as 2006-01-02T15:04:05Z"}
		}
		*option.at = at
	}
	if !period.From.Before(period.To) {
		return period, &flags.Error{Type: flags.ErrMarshal, Message: "--from must be before --to"}
	}
	return period, nil
}

// printTimeline prints the intervals in which an entry host did not consider the target eligible for requests, and for
// each entry host the total time for which it did.
func (c *explainCommand) printTimeline(e operator.Explanation, period record.TimeRange) error {
	timeline := record.Timeline(e.Records, c.Target, period)
	if c.JSON {
		return c.printJSON(timeline)
	}
	for _, interval := range timeline {
		if !interval.Eligible() {
			fmt.Fprintf(c.out, "%s: nothing from %s to %s (%v): %s since %s under note %d%s\n", interval.Host, interval.From.Format(timeFormat), interval.To.Format(timeFormat),
				interval.Duration().Round(time.Millisecond), interval.State, interval.Cause, interval.Note, formatEvidence(interval.Evidence))
		}
	}
	for _, eligibility := range record.EligibilityByHost(timeline) {
		fmt.Fprintf(c.out, "%s: could get requests for %v of %v known\n", eligibility.Host, eligibility.Eligible.Round(time.Millisecond), eligibility.Covered.Round(time.Millisecond))
	}
	if len(timeline) == 0 {
		fmt.Fprintf(c.out, "no host holds a record of target %q in this period; search the collected logs\n", c.Target)
	}
	return c.reportMissing(e)
}

// reportMissing prints the hosts that gave no records; it returns ErrFindings if there are any.
func (c *explainCommand) reportMissing(e operator.Explanation) error {
	for _, missing := range e.Missing {
		fmt.Fprintf(c.err, "no records from %s\n", missing)
	}
	if len(e.Missing) > 0 {
		return ErrFindings.New("%d hosts gave no records", len(e.Missing))
	}
	return nil
}

// timeFormat is the layout of printed times. Its Z is literal: it is right for the times of records, which are in UTC,
// but the bounds of the period have the time zone of the process, or of --from and --to.
const timeFormat = "2006-01-02T15:04:05.000Z"

// formatRecord returns an event record as one line of text.
func formatRecord(r record.Record) string {
	line := fmt.Sprintf("%s %s note %d: %s", r.Time.Format(timeFormat), r.Host, r.Note, r.Kind)
	if r.Service != "" {
		line += " service " + r.Service
	}
	if r.Target != "" {
		line += " target " + r.Target
	}
	if r.From != "" || r.To != "" {
		line += fmt.Sprintf(" from %q to %q", r.From, r.To)
	}
	if r.Cause != "" {
		line += ", cause " + r.Cause
	}
	return line + formatEvidence(r.Evidence)
}

// formatEvidence returns the evidence of a record as text to append to its line.
func formatEvidence(e record.Evidence) string {
	suffix := ""
	if e.Failures > 0 {
		suffix += fmt.Sprintf(", %d failures in a row", e.Failures)
	}
	if e.Latency > 0 {
		suffix += fmt.Sprintf(", latency %v against %v usual", e.Latency.Round(10*time.Microsecond), e.Usual.Round(10*time.Microsecond))
	}
	if e.Queued > 0 {
		suffix += fmt.Sprintf(", %d queued", e.Queued)
	}
	for _, detail := range []string{e.Peer, e.Hash, e.Detail} {
		if detail != "" {
			suffix += ", " + detail
		}
	}
	return suffix
}
