// Package command implements the command line of the briarcroft program. Each command is a struct whose tagged fields
// are its flags and whose Execute method runs it; Run parses the arguments and turns errors into exit codes.
//
// Some words of the project occur in all commands. An entry host is a process that takes requests from callers and
// sends them to backend servers, which are also called targets. A release note, or note for short, is one revision of
// the configuration. The store is the platform's key-value service. An etcd-like store (Kind = Etcd) holds the chain of
// accepted notes. The store of the users' platform (Kind = Native) holds only the newest configuration; an entry host on
// that platform is called a gateway.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"briarcroft/internal/document"
	"briarcroft/internal/note"
	"briarcroft/internal/platform"
	"briarcroft/internal/settings"
	"briarcroft/internal/signals"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
)

// Exit codes of the commands. Operators' scripts rely on them; docs/operators/commands.md lists them.
const (
	// ExitSuccess means that the command did its work and found nothing wrong.
	ExitSuccess = 0
	// ExitFailed means that the command failed, or that a check found a difference.
	ExitFailed = 1
	// ExitBadInput means that the arguments, the settings file or the release note are invalid.
	ExitBadInput = 2
	// ExitConflict means that another operator published a release note first.
	ExitConflict = 3
	// ExitOutcomeUnknown means that the store did not confirm whether it accepted the release note.
	ExitOutcomeUnknown = 4
)

var namespace = errorx.NewNamespace("command").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrFindings reports that a command ran but found a broken chain of notes, hosts that do not have the newest note in
// force, or hosts that gave no event records. The command has already written what it found, so Run does not print the
// message of this error.
var ErrFindings = namespace.NewType("disagrees")

// ErrNotInForce reports that a note was accepted but was not in force on every given host within the timeout.
var ErrNotInForce = namespace.NewType("late")

// Config holds the arguments of the process, without the program's name, and its output and error streams.
type Config struct {
	Arguments []string
	Out       io.Writer
	Err       io.Writer
}

// baseCommand holds the output and error streams; every command embeds it.
type baseCommand struct {
	out, err io.Writer
	// closeStreams writes what waits for the streams, if they are queues.
	closeStreams func()
}

// Run runs the command that the arguments name and returns its exit code.
func Run(c Config) int {
	b := &baseCommand{c.Out, c.Err, func() {}}
	defer func() { b.closeStreams() }()
	parser := flags.NewNamedParser("briarcroft", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A load balancer whose entry hosts recover from failures on their own and record what they changed and why.\n" +
		"Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another operator, 4 outcome unknown."
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"serve", "Run an entry host", "Runs an entry host until SIGTERM or SIGINT, then stops gracefully; a further SIGINT ends it at once.", &serveCommand{baseCommand: b}},
		{"check", "Check settings or a release note", "Checks a settings file or a release note and changes nothing.", &checkCommand{baseCommand: b}},
		{"publish", "Publish the next release note", "Adds a release note to the chain in the store by one compare-and-swap; exits with 3 if another operator was first, with 4 if the store did not confirm.", &publishCommand{baseCommand: b}},
		{"status", "Show the note in force and the state of each host", "Asks every host which release note is in force and for its state and latencies.", &statusCommand{baseCommand: b}},
		{"explain", "Explain what changed in the routing of requests, when and why", "Collects event records from every host, or shows when a target was not eligible for requests.", &explainCommand{baseCommand: b}},
		{"verify", "Check the chain of release notes and every host", "Verifies the chain of release notes in the store and compares every host with it, for use by a monitor; exits with 1 and names the hosts that differ.", &verifyCommand{baseCommand: b}},
		{"report", "Write a page for the monitor", "Writes one HTML page: the chain of release notes, every host, when targets were eligible for requests and why not, latencies, request counts and the cost of probes.", &reportCommand{baseCommand: b}},
		{"addresses", "Show the addresses that callers get", "Shows which entry hosts a caller should connect to.", &addressesCommand{baseCommand: b}},
		{"demo", "Run a whole deployment on loopback", "Runs a deployment in one process and exits with 1 if a request was lost, run twice or cut off.", &demoCommand{baseCommand: b}},
		{"standin", "Run test doubles of the platform and of backend servers", "Runs an in-memory key-value service, a host list and sample backend servers, for trying briarcroft out.", &standinCommand{baseCommand: b}},
		{"measure", "Measure a running entry host", "Compares requests through an entry host with requests direct to a backend server at rising rates, or sends none and shows the resources that hosts use.", &measureCommand{baseCommand: b}},
		{"experiment", "Compare load-balancing policies in a simulation", "Simulates load-balancing policies with modelled backend servers in virtual time and prints a table.", &experimentCommand{baseCommand: b}},
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

// reportError prints an error, if there is one, and returns the exit code for it.
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
	case errorx.IsOfType(err, note.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

// errorMessage returns the text of an error without the errorx type name that Error puts before it.
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

// newLogger returns a logger that writes JSON lines to the error stream; an unknown level means info.
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

// shutdownContexts returns a context that ends at the first SIGINT or SIGTERM, for a graceful stop, and one that ends
// at a SIGINT after that, for a stop at once. The caller must call release, which stops the handling of signals; they
// do not end the process after that either.
func shutdownContexts() (stop, force context.Context, release func()) {
	terminations := signals.Terminations()
	stop, cancelStop := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case s := <-terminations:
				// Some supervisors send SIGTERM repeatedly, which must not cut off running requests. A further SIGINT
				// comes from a person at a terminal, who wants the process to end at once.
				if stop.Err() != nil && s == syscall.SIGINT {
					cancelForce()
				}
				cancelStop()
			case <-force.Done():
				return
			}
		}
	}()
	return stop, force, func() {
		cancelForce()
		cancelStop()
		<-done
	}
}

// storeOptions are the flags that locate the key-value service.
type storeOptions struct {
	Store   string        `long:"store" required:"true" description:"URL of the platform's key-value service"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"time limit of the command"`
}

// openStore returns a client of the key-value service and the function that closes it. One request may take a fifth of
// the command's time limit, so that there is time to repeat it.
func (o storeOptions) openStore() (*platform.Etcd, func()) {
	return platform.NewEtcd(platform.EtcdConfig{URL: o.Store, Timeout: o.Timeout / 5})
}

// hostsOptions are the flags that list the entry hosts to query.
type hostsOptions struct {
	Hosts   []string      `long:"host" required:"true" description:"address of an entry host, IP:PORT; may be given several times"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"how long to wait for each host"`
}
