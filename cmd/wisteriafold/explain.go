package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"wisteriafold/request"
	"wisteriafold/sidecar"
)

// explainFlags holds the flags that describe a request that is not sent.
type explainFlags struct {
	metrics, host, path, organisation, digest, importance, output string
	size                                                          int64
}

func (f *explainFlags) flags(c *cobra.Command) {
	c.Flags().StringVar(&f.metrics, "metrics", "", "metrics listener of a daemon of the platform, host:port; explains where a request would go")
	c.Flags().StringVar(&f.host, "host", "", "host of the request")
	c.Flags().StringVar(&f.path, "path", "", "path of the request")
	c.Flags().StringVar(&f.organisation, "organisation", "", "organisation that sends the request")
	c.Flags().StringVar(&f.digest, "key-digest", "", "SHA-256 hash of the key, instead of the organisation; never the key itself")
	c.Flags().StringVar(&f.importance, "importance", "", "importance instead of that of the route or organisation: sheddable, normal, high or critical")
	c.Flags().Int64Var(&f.size, "size", 0, "bytes of the request's body")
	c.Flags().StringVar(&f.output, "output", "text", "text or json")
	c.MarkFlagsMutuallyExclusive("organisation", "key-digest")
}

// arguments checks the arguments of explain: a request id, or the flags of a request.
func (f *explainFlags) arguments(c *cobra.Command, args []string) error {
	if f.output != "text" && f.output != "json" {
		return eris.New("--output: use text or json")
	}
	if f.metrics == "" {
		for _, name := range []string{"host", "path", "organisation", "key-digest", "importance", "size"} {
			if c.Flags().Changed(name) {
				return eris.Errorf("--%s describes a request that is not sent: name a daemon with --metrics", name)
			}
		}
		return cobra.ExactArgs(1)(c, args)
	}
	if len(args) > 0 || c.Flags().Changed("operator") || c.Flags().Changed("settings-dir") {
		return eris.New("--metrics explains a request that is not sent: leave out request id, --operator and --settings-dir")
	}
	if f.host == "" || !strings.HasPrefix(f.path, "/") {
		return eris.New("give --host, and --path beginning with a slash")
	}
	return nil
}

// run asks the daemon and prints its explanation.
func (f *explainFlags) run(cmd *cobra.Command) error {
	q := url.Values{"host": {f.host}, "path": {f.path}}
	for name, value := range map[string]string{"organisation": f.organisation, "key-digest": f.digest, "importance": f.importance} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if cmd.Flags().Changed("size") {
		q.Set("size", strconv.FormatInt(f.size, 10))
	}
	var x sidecar.Explanation
	if err := f.get(q, &x); err != nil {
		return err
	}
	if f.output == "json" {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(&x)
	}
	return output(cmd, &x, explanationText(&x))
}

// get fetches the explanation. Wrong parameters are an error with exitUsage.
func (f *explainFlags) get(q url.Values, x *sidecar.Explanation) error {
	status, body, err := get(f.metrics, sidecar.PathExplain+"?"+q.Encode())
	switch {
	case err != nil:
		return eris.Wrapf(err, "query %s: start the daemon or correct the address", f.metrics)
	case status == fasthttp.StatusBadRequest:
		return withCode(exitUsage, eris.Errorf("%s: %s", f.metrics, body))
	case status != fasthttp.StatusOK:
		return eris.Errorf("query %s: it answered %d: %s", f.metrics, status, body)
	}
	if err := json.Unmarshal(body, x); err != nil {
		return eris.Wrapf(err, "%s gave no explanation: name the metrics listener of a daemon of this version", f.metrics)
	}
	return nil
}

// explanationText returns the explanation for people.
func explanationText(x *sidecar.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "asked          %s in %s, %s\n", x.Instance, x.DataCentre, x.Region)
	fmt.Fprintf(&b, "configuration  generation %d, %s\n", x.Configuration.Generation, confirmedText(x.Configuration.AgeMs))
	if r := x.Route; r != nil {
		fmt.Fprintf(&b, "route          %s (prefix %s, idempotent %t, open %t, time-out %.0f ms)\n", r.Name, r.Prefix, r.Idempotent, r.Open, r.TimeoutMs)
		fmt.Fprintf(&b, "organisation   %s, importance %s\n", orNone(x.Organisation), x.Importance)
		fmt.Fprintf(&b, "home regions   %s\n", homesText(x))
	}
	if e := x.Evacuation; e != nil {
		fmt.Fprintf(&b, "evacuated      %s (known %t, version %d)\n", orNone(strings.Join(e.DataCentres, ", ")), e.Known, e.Version)
	}
	fmt.Fprintf(&b, "admission      %s\n", admissionText(&x.Admission))
	for i := range x.Services {
		writeService(&b, &x.Services[i])
	}
	return strings.TrimRight(b.String(), "\n")
}

func confirmedText(ms int64) string {
	if ms < 0 {
		return "never confirmed"
	}
	return fmt.Sprintf("confirmed %d ms ago", ms)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func homesText(x *sidecar.Explanation) string {
	switch {
	case x.NoHome:
		return "none may serve it"
	case len(x.Homes) == 0:
		return "all"
	}
	return strings.Join(x.Homes, ", ")
}

func admissionText(a *sidecar.ExplainedAdmission) string {
	if a.Refused != "" {
		return fmt.Sprintf("refused, %s: %s", a.Refused, a.Remedy)
	}
	return fmt.Sprintf("admitted %.1f%% at entry level %s, tokens %s (%d here, %d other holders)",
		100*a.AdmittedTrees, levelText(request.Priority(a.EntryLevel)), a.Token, a.Tokens, a.Holders)
}

func writeService(b *strings.Builder, s *sidecar.ExplainedService) {
	fmt.Fprintf(b, "\nservice %s, %.1f%% of the route", s.Service, 100*s.Share)
	if !s.Used {
		b.WriteString(" (not used from here yet: the subset of endpoints is an example)")
	}
	b.WriteByte('\n')
	writeChoice(b, &s.Choice)
	r := &s.Retry
	fmt.Fprintf(b, "retries: at most %d backend servers, %d retries in all; budget left %.1f if not run, %.0f if it may have run%s\n",
		r.MaxAttempts, r.MaxRetries, r.NotRunLeft, r.MayRunLeft, map[bool]string{false: " (never: not idempotent)"}[r.Idempotent])
	if r.Choice != nil {
		fmt.Fprintf(b, "after a failure of %s:\n", strings.Join(r.Excluded, ", "))
		writeChoice(b, r.Choice)
	}
}

func writeChoice(b *strings.Builder, c *sidecar.ExplainedChoice) {
	w := tabwriter.NewWriter(b, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, "  ENDPOINT\tWHERE\tCHOSEN\tCOST\t= LATENCY\t+ BYTES\t+ WAIT\tRESPONSE (AGE)\tLOSS\tOUTSTANDING/LIMIT\tREPORT AGE\tWORK (AGE)\tPACE\tOVERFLOW\tPASSED OVER")
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		fmt.Fprintf(w, "  %s\t%s\t%.1f%%\t%.1f ms\t%.1f\t%.1f\t%.1f\t%.1f (%s)\t%.2f\t%.0f/%.0f\t%s\t%s\t%.2f\t%.2f\t%s\n",
			e.Peer, e.Locality, 100*e.Probability, e.CostMs, e.LatencyMs, e.BytesMs, e.CostMs-e.LatencyMs-e.BytesMs,
			e.ResponseMs, ageText(e.MeasuredAgeMs), e.Loss, e.Outstanding, e.Limit, reportText(e),
			workText(e), e.PaceShare, e.OverflowShare, passedOverText(e))
	}
	_ = w.Flush() // writing to a strings.Builder never fails
	if c.Refused > 0 {
		fmt.Fprintf(b, "  no endpoint: %.1f%%, %s\n", 100*c.Refused, c.Reason)
	}
}

func ageText(ms float64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%.0f ms", ms)
}

func reportText(e *sidecar.ExplainedEndpoint) string {
	if e.ReportAgeMs >= 0 && !e.ReportFresh {
		return ageText(e.ReportAgeMs) + ", too old"
	}
	return ageText(e.ReportAgeMs)
}

// workText returns the reported work percent with its age at the time of the report.
func workText(e *sidecar.ExplainedEndpoint) string {
	if e.WorkPercent == 0 {
		return "unknown"
	}
	return fmt.Sprintf("%d%% (%.0f ms)", e.WorkPercent, e.WorkAgeMs)
}

// passedOverText returns the reasons for not choosing the endpoint, in order of their
// names, with the frequency of each.
func passedOverText(e *sidecar.ExplainedEndpoint) string {
	var all []string
	for _, why := range slices.Sorted(maps.Keys(e.PassedOver)) {
		all = append(all, fmt.Sprintf("%s %.1f%%", why, 100*e.PassedOver[why]))
	}
	if e.Cold {
		all = append(all, "(cold)")
	}
	return strings.Join(all, ", ")
}
