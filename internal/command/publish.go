package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/operator"
)

type publishCommand struct {
	*baseCommand
	storeOptions
	Note string `long:"note" required:"true" description:"release note in INI"`
	JSON bool   `long:"json" description:"print the accepted record as JSON"`
	// Hosts are the entry hosts on which the command waits for the accepted note to be in force.
	Hosts []string `long:"host" description:"wait until the note is in force on this entry host; may be given several times"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	n, err := readNote(c.Note)
	if err != nil {
		return err
	}
	store, closeStore := c.openStore()
	defer closeStore()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	// If the write of the record is repeated, the nonce shows whether the stored record is this one.
	nonce := strconv.FormatUint(rand.Uint64(), 36)
	record, err := note.NewArchive(note.ArchiveConfig{Store: store}).Publish(ctx, n, nonce, time.Now())
	if err != nil {
		return err
	}
	if c.JSON {
		err = c.printJSON(record)
	} else {
		_, err = fmt.Fprintf(c.out, "note %d accepted, hash %s\n", record.Number, record.Hash())
	}
	if err != nil || len(c.Hosts) == 0 {
		return err
	}
	return c.awaitInForce(ctx, record.Number)
}

// pollInterval is the time between two queries of the hosts' status.
const pollInterval = 50 * time.Millisecond

// awaitInForce waits until the note, or a later one, is in force on every host; errors are ErrNotInForce.
func (c *publishCommand) awaitInForce(ctx context.Context, number int) error {
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: time.Second})
	defer closeClient()
	start := time.Now()
	for {
		pending := pendingHosts(client.Status(ctx), number)
		if len(pending) == 0 {
			_, err := fmt.Fprintf(c.err, "in force on %d hosts after %v\n", len(c.Hosts), time.Since(start).Round(time.Millisecond))
			return err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ErrNotInForce.New("note %d is accepted but not yet in force on %s; check again with the status command", number, strings.Join(pending, ", "))
		}
	}
}

// pendingHosts returns the addresses of the hosts that gave no status, are not ready, or have an earlier note in force.
func pendingHosts(statuses []operator.HostStatus, number int) []string {
	var pending []string
	for _, s := range statuses {
		if s.Error != "" || !s.Status.Ready || s.Note.Number < number {
			pending = append(pending, s.Address)
		}
	}
	return pending
}
