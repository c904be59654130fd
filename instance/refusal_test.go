package instance_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/instance"
)

func TestInvalidRequestsAreRefusedWithTheirReason(t *testing.T) {
	f := shared
	f.handle(t, "front", func(http.ResponseWriter, *http.Request) { t.Error("a refused request ran") })
	for name, c := range map[string]struct {
		method, path, body string
		headers            []string
		status             int
		reason             string
	}{
		"no route":            {"GET", "/nowhere", "", f.keyed(), 404, "no-route"},
		"no key":              {"GET", "/read", "", nil, 401, "no-key"},
		"unknown key":         {"GET", "/read", "", []string{instance.HeaderKey, "wfk_wrong"}, 401, "bad-key"},
		"key on open route":   {"GET", "/open", "", f.keyed(), 400, "key-on-open"},
		"bearer on open":      {"GET", "/open", "", []string{"Authorization", "Bearer " + f.key}, 400, "key-on-open"},
		"forged organisation": {"GET", "/read", "", f.keyed(instance.HeaderOrganisation, "school"), 400, "bad-request"},
		"forged call token":   {"GET", "/read", "", []string{instance.HeaderCall, "00"}, 400, "bad-call-token"},
		"forged outcome":      {"GET", "/read", "", f.keyed(instance.HeaderOutcome, "answered"), 400, "bad-request"},
		"wrong timeout":       {"GET", "/read", "", f.keyed(instance.HeaderTimeout, "-5"), 400, "bad-request"},
		"large body":          {"POST", "/order", strings.Repeat("x", 2<<10), f.keyed(), 413, "too-large"},
	} {
		t.Run(name, func(t *testing.T) {
			a := f.send(t, 0, c.method, c.path, strings.NewReader(c.body), c.headers...)
			require.Equal(t, c.status, a.status, a.body)
			require.Equal(t, c.reason, a.header.Get(instance.HeaderReason))
			require.Equal(t, "not-run", a.header.Get(instance.HeaderOutcome))
			require.Contains(t, a.body, "remedy")
		})
	}
}

func TestForgedTokenAtEgressIsRefused(t *testing.T) {
	f := shared
	a, err := f.try(t.Context(), f.sets[0].Listen.Egress, "GET", "/x", nil, "Host", "deep", instance.HeaderCall, strings.Repeat("a", 32))
	require.NoError(t, err)
	require.Equal(t, "bad-call-token", a.header.Get(instance.HeaderReason))
	a, err = f.try(t.Context(), f.sets[0].Listen.Egress, "GET", "/read", nil)
	require.NoError(t, err)
	require.Equal(t, "no-key", a.header.Get(instance.HeaderReason), "without a token it is an outside request")
}

func TestOversizeHeaderAndGarbageAreAnswered(t *testing.T) {
	for sent, want := range map[string]string{
		"GET /open HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 64<<10) + "\r\n\r\n": "431",
		"\x16\x03\x01garbage\r\n\r\n": "400",
	} {
		conn, err := net.Dial("tcp", shared.sets[0].Listen.Callers)
		require.NoError(t, err)
		go func() { _, _ = io.WriteString(conn, sent) }()
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
		line, err := bufio.NewReader(conn).ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, want)
		require.NoError(t, conn.Close())
	}
	require.Equal(t, 200, shared.send(t, 0, "GET", "/open", nil).status)
}

func TestSlowCallerIsClosed(t *testing.T) {
	conn, err := net.Dial("tcp", shared.sets[0].Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /open HTTP/1.1\r\nHost: a\r\nX: ")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	_, err = io.ReadAll(conn)
	require.NoError(t, err, "the daemon must close the connection, not leave it open")
}

func TestSettingsNameFileLineAndRemedy(t *testing.T) {
	for text, want := range map[string]string{
		"instance: a\nregoin: b\n":                  "line 2",
		"instance: a\nregion: [\nlog_level: info\n": "d.yaml:2: ",
		"instance: a\nregion: b\ndata_centre: c\n":  "listen.callers is missing",
		"instance: a\nlimits: {shutdown: 1ms}\n":    "region is missing",
		"instance: a\nregion: b\nlog_level: loud\n": "data_centre is missing",
	} {
		_, err := instance.ParseSettings("d.yaml", []byte(text))
		require.ErrorContains(t, err, "d.yaml")
		require.ErrorContains(t, err, want)
	}
}
