package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"wisteriafold/platform/memory"
	"wisteriafold/standin"
	"wisteriafold/standin/rowstore"
)

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// headerTimeout bounds the time in which a client of the platform stand-in must
// send the header of a request.
const headerTimeout = 5 * time.Second

func platformCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:     "platform",
		Short:   "Serve the platform's store from memory: rows, feed and objects over HTTP",
		Example: "  standin platform --listen 127.0.0.1:6000",
		Args:    cobra.NoArgs,
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:6000", "address to serve on")
	c.RunE = func(*cobra.Command, []string) error {
		ln, err := net.Listen("tcp", listen)
		if err != nil {
			return eris.Wrap(err, "--listen: free the address or name another")
		}
		store := memory.New()
		srv := &http.Server{Handler: rowstore.NewHandler(store), ReadHeaderTimeout: headerTimeout}
		ctx, stop := interrupted()
		defer stop()
		go func() {
			<-ctx.Done()
			_ = srv.Close()
		}()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
	return c
}

func backendCommand() *cobra.Command {
	var cfg standin.BackendConfig
	var listen string
	c := &cobra.Command{
		Use:     "backend",
		Short:   "Run a backend server that sleeps for a service time and calls further services",
		Example: "  standin backend --service archive --listen 127.0.0.1:9001 --egress 127.0.0.1:7101 --slots 50 --connections 400",
		Args:    cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9001", "address to serve on")
	f.StringVar(&cfg.Service, "service", "archive", "name of its service")
	f.IntVar(&cfg.Slots, "slots", 50, "concurrent calls that it runs")
	f.IntVar(&cfg.Connections, "connections", 400, "concurrent connections that it accepts")
	f.DurationVar(&cfg.ServiceTime, "service-time", 10*time.Millisecond, "mean service time of a call")
	f.DurationVar(&cfg.ColdFor, "cold-for", 0, "time after the start during which it is slow")
	f.Float64Var(&cfg.ColdFactor, "cold-factor", 3, "factor on the service time while cold")
	f.DurationVar(&cfg.ReportLag, "report-lag", time.Second, "age of the load that it reports")
	f.StringVar(&cfg.Egress, "egress", "", "egress listener of its daemon")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the service times")
	c.RunE = func(*cobra.Command, []string) error {
		ln, err := net.Listen("tcp", listen)
		if err != nil {
			return eris.Wrap(err, "--listen: free the address or name another")
		}
		ctx, stop := interrupted()
		defer stop()
		b := standin.NewBackend(cfg, standin.NewLedger())
		go func() {
			<-ctx.Done()
			_ = b.Close()
		}()
		return b.Serve(ln)
	}
	return c
}

func callerCommand() *cobra.Command {
	var k standin.Kind
	var entries []string
	var span time.Duration
	var seed uint64
	c := &cobra.Command{
		Use:     "caller",
		Short:   "Send requests at a rate and check the answers",
		Example: "  standin caller --entry 127.0.0.1:7001 --path /restorations --chain commissions,payments --key wfk_... --rate 100 --for 10s",
		Args:    cobra.NoArgs,
	}
	f := c.Flags()
	f.StringSliceVar(&entries, "entry", nil, "callers listeners of the daemons to send to")
	f.StringVar(&k.Method, "method", "GET", "HTTP method")
	f.StringVar(&k.Path, "path", "/", "path")
	f.StringVar(&k.Chain, "chain", "", "further services that are called in turn, separated by commas")
	f.StringVar(&k.Key, "key", "", "key of the organisation")
	f.Float64Var(&k.Rate, "rate", 50, "requests per second")
	f.BoolVar(&k.Once, "once", false, "send an idempotency key with each request")
	f.IntVar(&k.BodyBytes, "body", 0, "size of the request body in bytes")
	f.IntVar(&k.Retries, "retries", 0, "retries after the outcome not-run")
	f.DurationVar(&span, "for", 10*time.Second, "how long to send requests")
	f.Uint64Var(&seed, "seed", 1, "seed of the intervals between requests")
	_ = c.MarkFlagRequired("entry") // the flag is declared above
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, stop := interrupted()
		defer stop()
		ctx, cancel := context.WithTimeout(ctx, span)
		defer cancel()
		k.Name = "requests"
		callers := standin.NewCallers(entries)
		callers.Run(ctx, k, seed)
		return json.NewEncoder(cmd.OutOrStdout()).Encode(struct {
			standin.Tally
			Reasons  map[string]int64
			P50, P99 string
		}{
			callers.Tallies()[k.Name], callers.Reasons(),
			callers.Latency(50).String(), callers.Latency(99).String(),
		})
	}
	return c
}
