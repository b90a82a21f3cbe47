package command

import (
	"fmt"
	"os"

	"briarcroft/internal/note"
	"briarcroft/internal/settings"

	"github.com/jessevdk/go-flags"
)

type checkCommand struct {
	*baseCommand
	Config string `long:"config" description:"settings file in INI"`
	Note   string `long:"note" description:"release note in INI"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if (c.Config == "") == (c.Note == "") {
		return &flags.Error{Type: flags.ErrRequired, Message: "give either --config or --note"}
	}
	file := c.Config
	if file != "" {
		if _, err := settings.Load(file); err != nil {
			return err
		}
	} else {
		file = c.Note
		n, err := readNote(file)
		if err != nil {
			return err
		}
		// Only the first note can be checked in full without the store, since it applies to an empty configuration.
		if n.Follows == 0 {
			if _, err := (note.Configuration{}).Apply(n); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(c.out, "%s: in order\n", file)
	return err
}

// readNote reads and parses a release note; errors are settings.ErrFile or those of note.Parse.
func readNote(file string) (note.Note, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return note.Note{}, settings.ErrFile.New("%v; name a readable INI file", err)
	}
	return note.Parse(file, content)
}
