// Command starlingwinch routes clients' requests to a fleet of cache servers.
// Without arguments it serves with the configuration file that BALANCER_CONFIG names; `starlingwinch help` lists its commands.
package main

import (
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"starlingwinch/internal/configerror"
)

// Exit codes.
const (
	exitFailure = 1 // a file is not valid, or the router failed
	exitUsage   = 2 // the command line is not valid; nothing was done
)

// usageError is an error in the command line. The program then exits with exitUsage.
type usageError struct{ text string }

// Error implements error.
func (e usageError) Error() string { return e.text }

func main() {
	if runWorker(os.Args) {
		return
	}
	// Without a handler, a SIGHUP before the machine handles signals would terminate the program.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	stderr := newNonBlockingWriter(os.Stderr)
	log.SetOutput(stderr)
	err := rootCommand().Execute()
	if err == nil {
		stderr.flush(exitFlushTimeout)
		os.Exit(0)
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(stderr, text)
	}
	stderr.flush(commandFlushTimeout)
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	if errors.As(err, new(usageError)) {
		return exitUsage
	}
	return exitFailure
}

// rootCommand returns the root command with all its subcommands. Each subcommand has its own source file.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "starlingwinch",
		Short: "Routes clients' requests to a fleet of cache servers",
		Long: "Routes clients' requests to a fleet of cache servers. Without a command it serves with the\n" +
			"configuration file that BALANCER_CONFIG names.",
		Args:              noArgs,
		SilenceErrors:     true,
		SilenceUsage:      true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		RunE:              func(*cobra.Command, []string) error { return inputs{}.run() },
	}
	cmd.SetFlagErrorFunc(flagError)
	cmd.AddCommand(
		runCommand(),
		checkCommand(),
		membersCommand(),
		hookCommand(),
		stateCommand(),
		stormCommand(),
		fleetCommand(),
		versionCommand(),
	)
	cmd.SetHelpCommand(helpCommand())
	return cmd
}

// noArgs rejects all arguments. An argument is likely a mistyped command, which must not start a router.
func noArgs(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	var known []string
	for _, c := range cmd.Commands() {
		known = append(known, c.Name())
	}
	if len(known) == 0 {
		return usageError{fmt.Sprintf("%s: unexpected argument %s (the command takes none)", cmd.CommandPath(), configerror.Quote(args[0]))}
	}
	return usageError{fmt.Sprintf("%s: unknown command %s%s; see %s help", cmd.CommandPath(), configerror.Quote(args[0]),
		configerror.DidYouMean(args[0], known), cmd.Root().Name())}
}

// flagError converts an error of the flag parser to a usageError, with a suggestion if the flag is unknown.
func flagError(cmd *cobra.Command, err error) error {
	text := configerror.QuoteIfNeeded(err.Error())
	var unknown *pflag.NotExistError
	if errors.As(err, &unknown) {
		name := "--" + unknown.GetSpecifiedName()
		if unknown.GetSpecifiedShortnames() != "" {
			name = "-" + unknown.GetSpecifiedName()
		}
		text = "unknown flag " + configerror.Quote(name) + flagSuggestion(cmd, name)
	}
	return usageError{fmt.Sprintf("%s: %s; see %s --help", cmd.CommandPath(), text, cmd.CommandPath())}
}

// flagSuggestion returns a text that suggests the flag most similar to an unknown flag, among the flags of the command and
// of its subcommands. It returns "" if no flag is similar.
func flagSuggestion(cmd *cobra.Command, name string) string {
	var known []string
	commandLine := map[string]string{} // by flag: the flag, after the name of the subcommand that has it
	for _, c := range append([]*cobra.Command{cmd}, cmd.Commands()...) {
		c.Flags().VisitAll(func(f *pflag.Flag) {
			flag := "--" + f.Name
			if commandLine[flag] == "" {
				known = append(known, flag)
			} else if c.Name() != "run" { // if several subcommands have the flag, suggest run, the most used one
				return
			}
			commandLine[flag] = flag
			if c != cmd {
				commandLine[flag] = c.Name() + " " + flag
			}
		})
	}
	near := configerror.Suggest(name, known)
	if near == "" {
		return ""
	}
	return " (did you mean " + configerror.Quote(commandLine[near]) + "?)"
}

// helpCommand returns the command "help".
func helpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "help [COMMAND]",
		Short: "Print the help of the program or of a command",
		RunE: func(cmd *cobra.Command, args []string) error {
			about, rest, err := cmd.Root().Find(args)
			if err != nil || len(rest) > 0 {
				return noArgs(cmd.Root(), args)
			}
			about.InitDefaultHelpFlag()
			return about.Help()
		},
	}
}
