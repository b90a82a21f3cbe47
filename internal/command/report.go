package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"briarcroft/internal/operator"
	"briarcroft/internal/platform"
	"briarcroft/internal/record"
	"briarcroft/internal/report"

	"github.com/joomcode/errorx"
)

type reportCommand struct {
	*baseCommand
	hostsOptions
	Store string        `long:"store" required:"true" description:"URL of the platform's key-value service"`
	Since time.Duration `long:"since" default:"1h" description:"how far back to look"`
	Out   string        `long:"out" required:"true" description:"file to write; it must not exist yet"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	store, closeStore := platform.NewEtcd(platform.EtcdConfig{URL: c.Store, Timeout: c.Timeout})
	defer closeStore()
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: c.Timeout})
	defer closeClient()
	ctx := context.Background()
	hosts := client.Status(ctx)
	verification, err := operator.Verify(ctx, store, hosts)
	if err != nil {
		return err
	}
	now := time.Now()
	source := report.Source{
		Made: now, Stretch: record.TimeRange{From: now.Add(-c.Since), To: now}, Verification: verification, Hosts: hosts,
		// The records of all times are requested: the one that tells a target's state at the start of the period can be
		// older than the period.
		Explanation: client.Explain(ctx, "", time.Time{}),
	}
	if err := c.writeFile(source); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s written\n", c.Out)
	if err == nil && !verification.Agrees() {
		return ErrFindings.New("the chain of notes is broken or a host differs; see the page")
	}
	return err
}

// writeFile writes the page to a new file; it fails if the file exists.
func (c *reportCommand) writeFile(source report.Source) error {
	file, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return errorx.Decorate(err, "--out: name a new file in a writable directory")
	}
	if err := report.Write(file, source); err != nil {
		return errorx.DecorateMany("report", err, file.Close())
	}
	return file.Close()
}
