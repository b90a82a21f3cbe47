package command

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"briarcroft/internal/demo"
	"briarcroft/internal/platform/standin"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
)

type standinCommand struct {
	*baseCommand
	Listen   string        `long:"listen" default:"127.0.0.1:2379" description:"address of the key-value service and host list"`
	Backends []string      `long:"backend" description:"address of a sample backend server; may be given several times"`
	Slots    int           `long:"slots" default:"4" description:"slots of each sample backend server"`
	Work     time.Duration `long:"work" default:"5ms" description:"mean service time of a sample backend server"`
}

// sampleResponseBytes is the size of the response body of a sample backend server.
const sampleResponseBytes = 256

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	if c.Slots < 1 {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--slots must be 1 or more"}
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errorx.Decorate(err, "--listen: choose a free address")
	}
	server := &http.Server{Handler: standin.New(), ReadHeaderTimeout: 5 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	for i, address := range c.Backends {
		backend, stopBackend, err := demo.NewTarget(demo.TargetConfig{
			Listen: address, Slots: c.Slots, ServiceTime: c.Work, ResponseBytes: sampleResponseBytes, Seed: uint64(i),
		})
		if err != nil {
			return errorx.Decorate(err, "--backend: choose a free address")
		}
		defer stopBackend()
		fmt.Fprintf(c.out, "backend server on %s\n", backend.Address())
	}
	fmt.Fprintf(c.out, "key-value service on http://%s, host list on http://%s/Hosts\n", listener.Addr(), listener.Addr())
	stop, _, release := shutdownContexts()
	defer release()
	select {
	case <-stop.Done():
	case err := <-served:
		return err
	}
	err = server.Close()
	<-served
	return err
}
