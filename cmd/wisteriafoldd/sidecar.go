package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"wisteriafold/platform/host"
	"wisteriafold/sidecar"
)

const (
	// storeTimeout bounds one call to the platform's store.
	storeTimeout = 1500 * time.Millisecond

	// heapFraction is the fraction of the memory limit of the process that is set
	// as the limit of the Go runtime; the rest is for sockets, stacks and code.
	heapFraction = 0.6

	// gcPercent lets the heap double between two collections. Both peak memory and
	// processor time are paid for, so neither is minimised alone.
	gcPercent = 100
)

// sidecarCommand runs the daemon on the users' platform, with the platform's
// settings file and store.
func sidecarCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "sidecar",
		Short:   "Run the daemon of one backend server on the users' platform",
		Long:    "sidecar reads its settings from the file that " + host.SettingsVariable + " names and finds the\nother daemons through the platform's store. SIGTERM stops it after the requests in\nprogress, at the latest after the grace period of the settings. SIGHUP reloads the settings.",
		Example: "  " + host.SettingsVariable + "=node.yaml wisteriafoldd sidecar",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return runSidecar(file) },
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(host.SettingsVariable), "the platform's settings file (YAML)")
	return cmd
}

func runSidecar(file string) error {
	set, err := host.LoadSettings(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if set.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(set.MemoryBytes)))
	}
	store := host.NewStore(set.StoreAddress, storeTimeout)
	defer store.Close()
	d, err := sidecar.New(set, sidecar.Options{Log: os.Stdout, Dialect: host.Dialect{}, Store: store})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	if err := d.Start(); err != nil {
		return err
	}
	for {
		select {
		case err := <-d.Failed():
			d.Close()
			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.Reload(file, func() (sidecar.Settings, error) { return host.LoadSettings(file) })
				continue
			}
			d.Shutdown()
			return nil
		}
	}
}
