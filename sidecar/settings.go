package sidecar

import (
	"context"
	"time"

	"wisteriafold/fleet"
	"wisteriafold/membership"
	"wisteriafold/platform"
	"wisteriafold/routing"
)

// Settings holds the settings that a daemon reads when it starts.
type Settings struct {
	Instance   string
	DataCentre string
	Region     string
	Service    string // service of the local backend server
	Backend    string // address of the local backend server, ip:port
	FirstStart bool   // the whole deployment starts for the first time

	Regions map[string]string // region of each data centre of the deployment; empty if not declared

	Listen       Listen
	StoreAddress string // address of the platform's store, ip:port
	MemoryBytes  int64  // memory limit above which the process is killed; 0 for no limit

	// MaxDescriptors is the maximum number of open file descriptors; 0 for no limit.
	MaxDescriptors int

	ShutdownGrace time.Duration // from SIGTERM until the process is killed
	KeyRevocation time.Duration // time within which a withdrawn key must stop working
	Evacuation    time.Duration // time within which an evacuation must be in force; 0 if the deployment has no evacuations
	Retries       RetryBounds

	// No second may bring a cold backend server more than ColdOvershoot times the rate
	// that the configuration gives for its service, plus ColdSlack calls. Both are 0
	// when the settings do not give them.
	ColdOvershoot float64
	ColdSlack     float64
}

// Listen holds the addresses of the listeners, ip:port.
type Listen struct {
	Callers    string // requests of callers and of the local backend server
	Readiness  string
	Heartbeats string // heartbeats of the local backend server
	Peers      string // links from other daemons; also identifies this daemon
	Metrics    string
}

// RetryBounds limits the retries towards one service by all daemons together. They
// may send Ratio times the number of first attempts, plus Slack requests, in any time
// of length Window.
type RetryBounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// HeaderNames are the names of the HTTP header fields that the daemon reads
// and writes.
type HeaderNames struct {
	AttemptID         string // id of one attempt of a caller
	Deadline          string // time that the caller waits, in milliseconds
	Key               string // API key
	Organisation      string // organisation of the key, set for the backend server
	CallerService     string // service of the instance where the request entered
	ExpectedBackendID string // id of the backend server that the request is intended for
	Signature         string // present on complete answers of a backend server
	NotRun            string // present when the backend server did not run the request
	BackendID         string // id of the backend server that answered
	Load              string // load report of a backend server
	ColdRemaining     string // how much longer a backend server tolerates only few calls a second, in milliseconds
}

// Load is what a backend server reports about itself.
type Load struct {
	Running, Waiting, Slots int

	WorkPercent uint32 // how long work takes at present, in percent of the usual time; 0 if unknown
}

// Dialect translates the header fields, paths and documents of the platform.
type Dialect interface {
	HeaderNames() HeaderNames
	ParseLoad(value string) (Load, bool)
	ParseHeartbeat(path string, body []byte) (membership.Heartbeat, error)
	HeartbeatResponse() []byte
	IsReadinessPath(path string) bool

	// DecodeConfiguration decodes and checks the operator's document. Values that it
	// does not know are returned as notices of the configuration, not as errors.
	DecodeConfiguration(document []byte) (*routing.Configuration, error)
}

// Store is the platform's store. Errors are those of package platform.
type Store interface {
	// Configuration returns the operator's document and the version of its row.
	// It returns nil and 0 while there is no document.
	Configuration(ctx context.Context) (document []byte, version uint64, err error)

	// OperatorRows returns the operator's document and the evacuated data centres.
	OperatorRows(ctx context.Context) (fleet.Reading, error)

	// Get, Scan and Commit behave as those of platform.Table.
	Get(ctx context.Context, table string, keys ...string) ([]platform.Row, error)
	Scan(ctx context.Context, table, after string, limit int) ([]platform.Row, error)
	Commit(ctx context.Context, tx platform.Tx) (uint64, error)
}
