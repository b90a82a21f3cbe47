package command

import (
	"context"
	"fmt"

	"briarcroft/internal/operator"
	"briarcroft/internal/platform"
)

type verifyCommand struct {
	*root
	hostsOption
	Store string `long:"store" required:"true" description:"URL of the platform's key-value service"`
	JSON  bool   `long:"json" description:"print the findings as JSON"`
}

// Execute implements flags.Commander.
func (c *verifyCommand) Execute([]string) error {
	store, closeStore := platform.NewEtcd(platform.EtcdConfig{URL: c.Store, Timeout: c.Timeout})
	defer closeStore()
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: c.Timeout})
	defer closeClient()
	ctx := context.Background()
	v, err := operator.Verify(ctx, store, client.Status(ctx))
	if err != nil {
		return err
	}
	if c.JSON {
		err = c.json(v)
	} else {
		err = c.print(v)
	}
	if err == nil && !v.Agrees() {
		return ErrDisagrees.New("the chain or a host differs")
	}
	return err
}

func (c *verifyCommand) print(v operator.Verification) error {
	if v.Chain != "" {
		fmt.Fprintf(c.out, "chain: broken after note %d: %s\n", v.Number, v.Chain)
	} else {
		fmt.Fprintf(c.out, "chain: %d notes in order, head %s\n", v.Number, v.Hash)
	}
	for _, f := range v.Findings {
		word := "agrees"
		if !f.Agrees {
			word = "differs: " + f.Detail
		}
		if _, err := fmt.Fprintf(c.out, "%s %s: %s\n", f.Address, f.Host, word); err != nil {
			return err
		}
	}
	return nil
}
