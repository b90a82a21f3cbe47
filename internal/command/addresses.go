package command

import (
	"context"
	"fmt"

	"briarcroft/internal/operator"
)

type addressesCommand struct {
	*root
	hostsOption
	Service string `long:"service" required:"true" description:"service to ask for"`
	Domain  string `long:"domain" description:"the caller's failure domain"`
	JSON    bool   `long:"json" description:"print the answer as JSON"`
}

// Execute implements flags.Commander.
func (c *addressesCommand) Execute([]string) error {
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: c.Timeout})
	defer closeClient()
	answer, err := client.Addresses(context.Background(), c.Service, c.Domain)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.json(answer)
	}
	fmt.Fprintf(c.out, "%s: keep for %ds, note %d, grant %s of %s\n", answer.Service, answer.MaxAge, answer.Note, answer.Grant, answer.GrantHost)
	for _, a := range answer.Addresses {
		fmt.Fprintf(c.out, "%s %s %s\n", a.Address, a.Host, a.Domain)
	}
	return nil
}
