// Package command implements dillchute's command line: the commands that run
// processes and the operator commands.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/declaration"
)

// Version is the program's version, set at build time.
var Version = "development"

// Exit codes.
const (
	exitSuccess = 0
	exitFailed  = 1
	exitUsage   = 2
)

// Streams holds the output streams of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// root is dillchute's command line.
type root struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Control  controlCommand  `cmd:"" help:"Run or set up a control replica."`
	Node     nodeCommand     `cmd:"" help:"Run a node."`
	Validate validateCommand `cmd:"" help:"Check the declarations of a folder."`
	Diff     diffCommand     `cmd:"" help:"Show how a folder's declarations differ from those in force."`
	Apply    applyCommand    `cmd:"" help:"Put a folder's declarations into force."`
	Get      getCommand      `cmd:"" help:"Print the declarations in force."`
	History  historyCommand  `cmd:"" help:"Print the newest accepted changes."`
	Status   statusCommand   `cmd:"" help:"Print replicas, nodes, engines and pools."`
	Capacity capacityCommand `cmd:"" help:"Print how many backends are wanted, ordered and there, and why."`
	Drain    drainCommand    `cmd:"" help:"Drain a node or an engine."`
	Weights  weightsCommand  `cmd:"" help:"Publish weight versions."`
	Members  membersCommand  `cmd:"" help:"Change the group of control replicas."`
	Explain  explainCommand  `cmd:"" help:"Print what the logs of several processes say of one request."`

	// Plugins holds additional commands from the main package.
	kong.Plugins
}

// Main runs the command line and returns the exit code: 0 for success, 1 for
// failure, 2 for invalid usage or an invalid file. The plugins are kong structs
// of additional commands.
func Main(arguments []string, streams Streams, plugins ...any) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return Run(ctx, "dillchute", "Rollout service for reinforcement learning.", Version, &root{Plugins: plugins}, arguments, streams)
}

// requestedExit is the panic value that carries an exit code requested by kong, as after --help.
type requestedExit int

// Run parses the arguments into the grammar and runs the selected command.
func Run(ctx context.Context, name, description, version string, grammar any, arguments []string, streams Streams) (code int) {
	defer func() {
		if reason := recover(); reason != nil {
			requested, ok := reason.(requestedExit)
			if !ok {
				panic(reason)
			}
			code = int(requested)
		}
	}()
	parser, err := kong.New(grammar, kong.Name(name), kong.Description(description), kong.Vars{"version": version},
		kong.Writers(streams.Out, streams.Err), kong.UsageOnError(), kong.Exit(func(code int) { panic(requestedExit(code)) }),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(streams))
	if err != nil {
		panic("command: invalid command line definition: " + err.Error())
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintf(streams.Err, "%s: %s\n", name, err)
		return exitUsage
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(streams.Err, "%s: %s\n", name, err)
		return exitCode(err)
	}
	return exitSuccess
}

var (
	namespace = errorx.NewNamespace("command")
	// ErrFailed is the error for a command that was refused or failed.
	ErrFailed = namespace.NewType("failed")
	// ErrUsage is the error for invalid arguments.
	ErrUsage = namespace.NewType("usage")
)

func exitCode(err error) int {
	var typed *errorx.Error
	if errors.As(err, &typed) {
		if errorx.IsOfType(typed, config.ErrInvalid) || errorx.IsOfType(typed, declaration.ErrInvalid) || errorx.IsOfType(typed, ErrUsage) {
			return exitUsage
		}
	}
	return exitFailed
}

func newLogger(level string, out io.Writer) *zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logger := zerolog.New(out).Level(parsed).With().Timestamp().Logger()
	return &logger
}
