package command

import (
	"context"
	"fmt"

	"briarcroft/internal/operator"
	internalplatform "briarcroft/internal/platform"
	"briarcroft/platform"
)

type verifyCommand struct {
	*baseCommand
	hostsOptions
	Store string `long:"store" required:"true" description:"URL of the platform's key-value service"`
	Kind  string `long:"kind" choice:"Etcd" choice:"Native" default:"Etcd" description:"protocol of the store: Etcd, or Native for the users' platform"`
	JSON  bool   `long:"json" description:"print the findings as JSON"`
}

// Execute implements flags.Commander.
func (c *verifyCommand) Execute([]string) error {
	client, closeClient := operator.New(operator.Config{Hosts: c.Hosts, Timeout: c.Timeout})
	defer closeClient()
	ctx := context.Background()
	v, err := c.verify(ctx, client.Status(ctx))
	if err != nil {
		return err
	}
	if c.JSON {
		err = c.printJSON(v)
	} else {
		err = c.printFindings(v)
	}
	if err == nil && !v.Agrees() {
		return ErrFindings.New("the chain of notes is broken or a host differs")
	}
	return err
}

// verify compares the hosts with the store. A Native store holds only the newest configuration; an Etcd store holds the
// chain of all release notes, which is verified too.
func (c *verifyCommand) verify(ctx context.Context, hosts []operator.HostStatus) (operator.Verification, error) {
	if c.Kind == "Native" {
		store, closeStore := platform.NewStore(platform.StoreConfig{URL: c.Store, Timeout: c.Timeout})
		defer closeStore()
		newest, err := store.Configuration(ctx)
		if err != nil {
			return operator.Verification{}, err
		}
		return operator.VerifyConfiguration(newest, hosts), nil
	}
	store, closeStore := internalplatform.NewEtcd(internalplatform.EtcdConfig{URL: c.Store, Timeout: c.Timeout})
	defer closeStore()
	return operator.Verify(ctx, store, hosts)
}

// printFindings prints the state of the chain and one line for each host. For a Native store, which has no chain, the
// first line shows the number and hash of the newest configuration.
func (c *verifyCommand) printFindings(v operator.Verification) error {
	if v.Chain != "" {
		fmt.Fprintf(c.out, "chain: broken after note %d: %s\n", v.Number, v.Chain)
	} else {
		fmt.Fprintf(c.out, "chain: %d notes in order, head %s\n", v.Number, v.Hash)
	}
	for _, f := range v.Findings {
		result := "agrees"
		if !f.Agrees {
			result = "differs: " + f.Detail
		}
		if _, err := fmt.Fprintf(c.out, "%s %s: %s\n", f.Address, f.Host, result); err != nil {
			return err
		}
	}
	return nil
}
