// Package command is briarcroft's command line.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"briarcroft/internal/document"
	"briarcroft/internal/note"
	"briarcroft/internal/platform"
	"briarcroft/internal/settings"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
)

// Exit codes, as docs/operators/commands.md documents them.
const (
	ExitSuccess        = 0
	ExitFailed         = 1
	ExitBadInput       = 2
	ExitConflict       = 3
	ExitOutcomeUnknown = 4
)

var namespace = errorx.NewNamespace("command").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrFindings reports a check that ran and found a difference, which has been printed already.
var ErrFindings = namespace.NewType("disagrees")

// ErrNotInForce reports a note that was accepted and is not in force on every host in time.
var ErrNotInForce = namespace.NewType("late")

// Config is what a run gets from its process.
type Config struct {
	Arguments []string
	Out       io.Writer
	Err       io.Writer
}

// baseCommand holds what every command needs.
type baseCommand struct {
	out, err io.Writer
}

// Run runs one command and returns its exit code.
func Run(c Config) int {
	b := &baseCommand{c.Out, c.Err}
	parser := flags.NewNamedParser("briarcroft", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A load balancer whose entry hosts repair themselves and explain what they did.\n" +
		"Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another operator, 4 outcome unknown."
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"serve", "Run an entry host", "Runs an entry host until SIGTERM, then stops gracefully; a second signal ends it at once.", &serveCommand{baseCommand: b}},
		{"check", "Check settings or a note", "Checks a settings file or a release note and changes nothing.", &checkCommand{baseCommand: b}},
		{"publish", "Publish the next release note", "Accepts a release note by one compare-and-swap; exit 3 if another operator was first, 4 if the store did not confirm.", &publishCommand{baseCommand: b}},
		{"status", "Show the note in force and the state of each host", "Asks every host which note is in force and what it does.", &statusCommand{baseCommand: b}},
		{"explain", "Explain what was steered, when and why", "Collects the records of every host that concern a target.", &explainCommand{baseCommand: b}},
		{"verify", "Check the note chain and every host", "The monitor's check: walks the chain in the store and compares every host; exit 1 with the odd ones named.", &verifyCommand{baseCommand: b}},
		{"report", "Write a page for the monitor", "Writes one HTML page: the chain, every host, when targets could get requests and why not, latencies, counts and what measuring cost.", &reportCommand{baseCommand: b}},
		{"addresses", "Ask for addresses as a caller would", "Shows which entry hosts a caller should connect to.", &addressesCommand{baseCommand: b}},
		{"demo", "Run a whole deployment on loopback", "Runs a deployment in one process and exits 1 if anything was lost, doubled or cut.", &demoCommand{baseCommand: b}},
		{"standin", "Run stand-ins for the platform and for backend servers", "Runs an in-memory key-value service, a host list and sample backend servers, for trying briarcroft out.", &standinCommand{baseCommand: b}},
		{"measure", "Measure a running entry host", "Compares requests through an entry host with requests direct to a backend server at rising rates, or shows what hosts spend on control.", &measureCommand{baseCommand: b}},
		{"experiment", "Compare policies in the model", "Plays ways of steering against modelled backend servers in virtual time and prints a table.", &experimentCommand{baseCommand: b}},
		{"version", "Show the version", "Shows the version.", &versionCommand{baseCommand: b}},
	}
	for _, command := range commands {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			fmt.Fprintln(c.Err, err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(c.Arguments)
	return b.reportError(err)
}

// reportError prints an error and chooses the exit code.
func (b *baseCommand) reportError(err error) int {
	var usageErr *flags.Error
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &usageErr) && usageErr.Type == flags.ErrHelp:
		fmt.Fprintln(b.out, usageErr.Message)
		return ExitSuccess
	case errors.As(err, &usageErr):
		fmt.Fprintf(b.err, "%s; see briarcroft --help\n", usageErr.Message)
		return ExitBadInput
	case errorx.IsOfType(err, ErrFindings):
		return ExitFailed
	}
	fmt.Fprintln(b.err, errorMessage(err))
	switch {
	case errorx.IsOfType(err, document.ErrField), errorx.IsOfType(err, document.ErrSyntax),
		errorx.IsOfType(err, settings.ErrFile), errorx.IsOfType(err, note.ErrInvalid):
		return ExitBadInput
	case errorx.IsOfType(err, note.ErrConflict):
		return ExitConflict
	case errorx.IsOfType(err, note.ErrUnknown):
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

// errorMessage returns an error's text without the name of its type.
func errorMessage(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Message()
	}
	return err.Error()
}

func (b *baseCommand) printJSON(value any) error {
	encoder := json.NewEncoder(b.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newLogger writes structured logs to the error stream.
func (b *baseCommand) newLogger(level string) zerolog.Logger {
	parsedLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		parsedLevel = zerolog.InfoLevel
	}
	zerolog.TimestampFieldName, zerolog.LevelFieldName = "Time", "Level"
	zerolog.MessageFieldName, zerolog.ErrorFieldName = "Message", "Error"
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(b.err).Level(parsedLevel).With().Timestamp().Logger()
}

// shutdownContexts returns a context that ends at the first interrupt or termination signal, and one that ends at an interrupt after that.
func shutdownContexts() (stop, force context.Context, release func()) {
	stop, releaseStop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	force, cancelForce := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-stop.Done():
		case <-force.Done():
			return
		}
		// A supervisor may repeat SIGTERM; only a person who interrupts a second time wants to cut what is under way.
		interrupted, releaseInterrupted := signal.NotifyContext(force, syscall.SIGINT)
		defer releaseInterrupted()
		<-interrupted.Done()
		cancelForce()
	}()
	return stop, force, func() {
		cancelForce()
		releaseStop()
		<-done
	}
}

// storeOptions locates the key-value service.
type storeOptions struct {
	Store   string        `long:"store" required:"true" description:"URL of the platform's key-value service"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"how long to wait for the service"`
}

func (o storeOptions) openStore() (*platform.Etcd, func()) {
	return platform.NewEtcd(platform.EtcdConfig{URL: o.Store, Timeout: o.Timeout / 5})
}

// hostsOptions lists the entry hosts to ask.
type hostsOptions struct {
	Hosts   []string      `long:"host" required:"true" description:"address of an entry host, IP:PORT; may be given several times"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"how long to wait for each host"`
}
