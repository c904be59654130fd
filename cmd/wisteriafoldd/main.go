// Command wisteriafoldd is the sidecar daemon of one backend server.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"wisteriafold/instance"
	"wisteriafold/platform/host"
)

// Exit codes.
const (
	exitFailed   = 1 // calls were cut off at shutdown, or another failure that is not about settings
	exitSettings = 2 // the settings are invalid
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "wisteriafoldd:", err)
		os.Exit(codeOf(err))
	}
}

func command() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:           "wisteriafoldd --settings FILE",
		Short:         "Run the daemon of one backend server",
		Long:          "wisteriafoldd admits calls to its backend server and routes the calls that the backend\nserver makes. SIGTERM stops it after the requests in progress, at the latest at the\nshutdown limit of the settings; a second SIGTERM stops it at once.",
		Example:       "  wisteriafoldd --settings examples/kurume/daemons/fuk-a-1.yaml",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(file) },
	}
	cmd.AddCommand(sidecarCommand())
	cmd.Flags().StringVar(&file, "settings", "", "settings file (YAML)")
	_ = cmd.MarkFlagRequired("settings") // the flag is declared above
	return cmd
}

func codeOf(err error) int {
	var wrong *instance.SettingsError
	var platformWrong *host.SettingsError
	if errors.As(err, &wrong) || errors.As(err, &platformWrong) {
		return exitSettings
	}
	return exitFailed
}

func run(file string) error {
	set, err := instance.LoadSettings(file)
	if err != nil {
		return err
	}
	store := host.NewStore(set.Platform.Address, set.Platform.Timeout)
	defer store.Close()
	d, err := instance.New(set, instance.Options{Log: os.Stdout, Table: store, Objects: store.Objects()})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	if err := d.Start(); err != nil {
		return err
	}
	select {
	case err := <-d.Failed():
		d.Kill()
		return err
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(context.Background(), set.Limits.Shutdown)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return d.Shutdown(ctx)
}
