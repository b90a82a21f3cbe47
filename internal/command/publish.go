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
	*root
	storeOption
	Note string `long:"note" required:"true" description:"release note in INI"`
	JSON bool   `long:"json" description:"print the accepted record as JSON"`
	// Hosts are waited for after the acceptance.
	Hosts []string `long:"host" description:"wait until the note is in force on this entry host; may be given several times"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	n, err := readNote(c.Note)
	if err != nil {
		return err
	}
	store, closeStore := c.open()
	defer closeStore()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	nonce := strconv.FormatUint(rand.Uint64(), 36)
	record, err := note.NewArchive(note.ArchiveConfig{Store: store}).Publish(ctx, n, nonce, time.Now())
	if err != nil {
		return err
	}
	if c.JSON {
		err = c.json(record)
	} else {
		_, err = fmt.Fprintf(c.out, "note %d accepted, hash %s\n", record.Number, record.Hash())
	}
	if err != nil || len(c.Hosts) == 0 {
		return err
	}
	return c.await(ctx, record.Number)
}

// awaitPause is the time between two looks at the hosts.
const awaitPause = 50 * time.Millisecond

// await waits until the note, or a later one, is in force on every host; errors are ErrLate.
func (c *publishCommand) await(ctx context.Context, number int) error {
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: time.Second})
	defer closeClient()
	started := time.Now()
	for {
		late := lateHosts(client.Status(ctx), number)
		if len(late) == 0 {
			_, err := fmt.Fprintf(c.err, "in force on %d hosts after %v\n", len(c.Hosts), time.Since(started).Round(time.Millisecond))
			return err
		}
		select {
		case <-time.After(awaitPause):
		case <-ctx.Done():
			return ErrNotInForce.New("note %d is accepted but not yet in force on %s; look again with status", number, strings.Join(late, ", "))
		}
	}
}

// lateHosts returns the addresses of hosts that are not ready or have an earlier note in force.
func lateHosts(list []operator.HostStatus, number int) []string {
	var late []string
	for _, s := range list {
		if s.Error != "" || !s.Status.Ready || s.Note.Number < number {
			late = append(late, s.Address)
		}
	}
	return late
}
