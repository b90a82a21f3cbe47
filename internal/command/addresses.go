package command

import (
	"context"
	"fmt"

	"briarcroft/internal/operator"
)

type addressesCommand struct {
	*baseCommand
	hostsOptions
	Service string `long:"service" required:"true" description:"service whose entry hosts to show"`
	Domain  string `long:"domain" description:"failure domain of the caller"`
	JSON    bool   `long:"json" description:"print the response as JSON"`
}

// Execute implements flags.Commander.
func (c *addressesCommand) Execute([]string) error {
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: c.Timeout})
	defer closeClient()
	response, err := client.Addresses(context.Background(), c.Service, c.Domain)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(response)
	}
	fmt.Fprintf(c.out, "%s: keep for %ds, note %d, grant %s of %s\n", response.Service, response.MaxAge, response.Note, response.Grant, response.GrantHost)
	for _, a := range response.Addresses {
		fmt.Fprintf(c.out, "%s %s %s\n", a.Address, a.Host, a.Domain)
	}
	return nil
}
