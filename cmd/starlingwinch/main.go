// Command starlingwinch routes clients' requests to a fleet of cache servers.
// Without arguments it serves as the file says that BALANCER_CONFIG names; `starlingwinch help` lists its commands.
package main

import (
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"starlingwinch/internal/configerror"
)

// Exit codes.
const (
	exitFault = 1 // a file is wrong, or the router could not go on
	exitUsage = 2 // the command line is wrong; nothing was done
)

// usageError is what is wrong with the command line.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func main() {
	if runWorker(os.Args) {
		return
	}
	// From the first moment on: a SIGHUP that nobody takes would end the program.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	stderr := newOutlet(os.Stderr)
	log.SetOutput(stderr)
	err := root().Execute()
	code, patience := 0, briefly
	if err != nil {
		code, patience = exitFault, 2*time.Second
		if errors.As(err, new(usageError)) {
			code = exitUsage
		}
		if text := err.Error(); text != "" {
			fmt.Fprintln(stderr, text)
		}
	}
	stderr.flush(patience)
	os.Exit(code)
}

// root is the command line: a command for each thing that the program does, in a file of its own.
func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "starlingwinch",
		Short: "Routes clients' requests to a fleet of cache servers",
		Long: "Routes clients' requests to a fleet of cache servers. Without a command it serves, as the file\n" +
			"says that BALANCER_CONFIG names.",
		Args:              knownWords,
		SilenceErrors:     true,
		SilenceUsage:      true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		RunE:              func(*cobra.Command, []string) error { return inputs{}.run() },
	}
	cmd.SetFlagErrorFunc(flagError)
	cmd.AddCommand(runCommand(), checkCommand(), membersCommand(), hookCommand(), stateCommand(), stormCommand(), fleetCommand(), versionCommand())
	cmd.SetHelpCommand(helpCommand())
	return cmd
}

// knownWords refuses a word that is no command. The danger: a slip in a command starts a router.
func knownWords(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	var known []string
	for _, c := range cmd.Commands() {
		known = append(known, c.Name())
	}
	if len(known) == 0 {
		return usageError{fmt.Sprintf("%s: unknown word %s (it takes none)", cmd.CommandPath(), configerror.Quote(args[0]))}
	}
	return usageError{fmt.Sprintf("%s: unknown command %s%s; see %s help", cmd.CommandPath(), configerror.Quote(args[0]),
		configerror.DidYouMean(args[0], known), cmd.Root().Name())}
}

// flagError words what is wrong with a flag.
func flagError(cmd *cobra.Command, err error) error {
	text := configerror.Plain(err.Error())
	var unknown *pflag.NotExistError
	if errors.As(err, &unknown) {
		name := "--" + unknown.GetSpecifiedName()
		if unknown.GetSpecifiedShortnames() != "" {
			name = "-" + unknown.GetSpecifiedName()
		}
		text = "unknown flag " + configerror.Quote(name) + meantFlag(cmd, name)
	}
	return usageError{fmt.Sprintf("%s: %s; see %s --help", cmd.CommandPath(), text, cmd.CommandPath())}
}

// meantFlag words the near flag of a command, or of one of its commands.
func meantFlag(cmd *cobra.Command, name string) string {
	var known []string
	whole := map[string]string{} // the flag with the command that takes it
	for _, c := range append([]*cobra.Command{cmd}, cmd.Commands()...) {
		c.Flags().VisitAll(func(f *pflag.Flag) {
			flag := "--" + f.Name
			if whole[flag] == "" {
				known = append(known, flag)
			} else if c.Name() != "run" { // which comes first: it is what most mean
				return
			}
			if whole[flag] = flag; c != cmd {
				whole[flag] = c.Name() + " " + flag
			}
		})
	}
	near := configerror.Suggest(name, known)
	if near == "" {
		return ""
	}
	return " (did you mean " + configerror.Quote(whole[near]) + "?)"
}

func helpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "help [COMMAND]",
		Short: "Tell what the program or a command of it does",
		RunE: func(cmd *cobra.Command, args []string) error {
			about, rest, err := cmd.Root().Find(args)
			if err != nil || len(rest) > 0 {
				return knownWords(cmd.Root(), args)
			}
			about.InitDefaultHelpFlag()
			return about.Help()
		},
	}
}
