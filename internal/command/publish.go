package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"briarcroft/internal/note"
)

type publishCommand struct {
	*root
	storeOption
	Note string `long:"note" required:"true" description:"release note in INI"`
	JSON bool   `long:"json" description:"print the accepted record as JSON"`
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
		return c.json(record)
	}
	_, err = fmt.Fprintf(c.out, "note %d accepted, hash %s\n", record.Number, record.Hash())
	return err
}
