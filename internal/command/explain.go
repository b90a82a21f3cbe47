package command

import (
	"context"
	"fmt"
	"slices"
	"time"

	"briarcroft/internal/operator"
	"briarcroft/internal/record"

	"github.com/jessevdk/go-flags"
)

type explainCommand struct {
	*root
	hostsOption
	Target string        `long:"target" description:"only records that concern this target, and those that concern all"`
	Since  time.Duration `long:"since" default:"1h" description:"how far back"`
	Why    bool          `long:"why" description:"show when the target could get nothing, and why"`
	From   string        `long:"from" description:"start of the stretch to explain, as 2006-01-02T15:04:05Z; instead of --since"`
	To     string        `long:"to" description:"end of the stretch, as 2006-01-02T15:04:05Z; now when left out"`
	JSON   bool          `long:"json" description:"print the records, or with --why the intervals, as JSON"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	stretch, err := c.stretch(time.Now())
	if err != nil {
		return err
	}
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: c.Timeout})
	defer closeClient()
	if c.Why {
		return c.why(client.Explain(context.Background(), c.Target, time.Time{}), stretch)
	}
	e := client.Explain(context.Background(), c.Target, stretch.From)
	e.Records = slices.DeleteFunc(e.Records, func(r record.Record) bool { return r.Time.After(stretch.To) })
	if c.JSON {
		return c.json(e)
	}
	for _, r := range e.Records {
		fmt.Fprintln(c.out, line(r))
	}
	return c.missing(e)
}

// stretch returns the time that is asked about.
func (c *explainCommand) stretch(now time.Time) (record.Stretch, error) {
	s := record.Stretch{From: now.Add(-c.Since), To: now}
	if c.Why && c.Target == "" {
		return s, &flags.Error{Type: flags.ErrRequired, Message: "--why needs --target"}
	}
	for _, bound := range []struct {
		name, text string
		at         *time.Time
	}{{"--from", c.From, &s.From}, {"--to", c.To, &s.To}} {
		if bound.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, bound.text)
		if err != nil {
			return s, &flags.Error{Type: flags.ErrMarshal, Message: bound.name + " is not a time; write it as 2006-01-02T15:04:05Z"}
		}
		*bound.at = at
	}
	if !s.From.Before(s.To) {
		return s, &flags.Error{Type: flags.ErrMarshal, Message: "--from must lie before --to"}
	}
	return s, nil
}

// why prints when the target could get nothing, and how much of the time it could.
func (c *explainCommand) why(e operator.Explanation, s record.Stretch) error {
	timeline := record.Timeline(e.Records, c.Target, s)
	if c.JSON {
		return c.json(timeline)
	}
	for _, i := range timeline {
		if !i.Eligible() {
			fmt.Fprintf(c.out, "%s: nothing from %s to %s (%v): %s since %s under note %d%s\n", i.Host, i.From.Format(timeFormat), i.To.Format(timeFormat),
				i.Length().Round(time.Millisecond), i.State, i.Cause, i.Note, evidence(i.Evidence))
		}
	}
	for _, share := range record.Shares(timeline) {
		fmt.Fprintf(c.out, "%s: could get requests for %v of %v known\n", share.Host, share.Eligible.Round(time.Millisecond), share.Known.Round(time.Millisecond))
	}
	if len(timeline) == 0 {
		fmt.Fprintf(c.out, "no host holds a record of target %q in this stretch; look into the collected logs\n", c.Target)
	}
	return c.missing(e)
}

// missing names the hosts that gave no records.
func (c *explainCommand) missing(e operator.Explanation) error {
	for _, missing := range e.Missing {
		fmt.Fprintf(c.err, "no records from %s\n", missing)
	}
	if len(e.Missing) > 0 {
		return ErrFindings.New("%d hosts gave no records", len(e.Missing))
	}
	return nil
}

// timeFormat is how times are shown.
const timeFormat = "2006-01-02T15:04:05.000Z"

// line returns a record as one plain line.
func line(r record.Record) string {
	text := fmt.Sprintf("%s %s note %d: %s", r.Time.Format(timeFormat), r.Host, r.Note, r.Kind)
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
