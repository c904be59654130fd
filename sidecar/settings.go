package sidecar

import (
	"context"
	"time"

	"wisteriafold/membership"
	"wisteriafold/platform"
	"wisteriafold/routing"
)

// Settings is what one daemon is told when it starts.
type Settings struct {
	Instance   string
	DataCentre string
	Region     string
	Service    string // of the backend server beside the daemon
	Backend    string // address of that backend server, ip:port
	FirstStart bool   // the whole deployment starts for the first time

	Listen       Listen
	StoreAddress string // of the platform's store, ip:port
	MemoryBytes  int64  // the process is killed above it; 0 when not limited

	ShutdownGrace time.Duration // from SIGTERM until the process is killed
	KeyRevocation time.Duration // time in which a withdrawn key must stop working
	Retries       RetryBounds
}

// Listen holds the addresses of the listeners, ip:port.
type Listen struct {
	Callers    string // callers on the instance and the local backend server
	Readiness  string
	Heartbeats string // of the local backend server
	Peers      string // other daemons; identifies this one
	Metrics    string
}

// RetryBounds limits repeated requests to a service, over all daemons together:
// Ratio of the first attempts, and Slack requests in a window of the platform's.
type RetryBounds struct {
	Ratio float64
	Slack float64
}

// HeaderNames are the names of the HTTP header fields that the daemon reads
// and writes.
type HeaderNames struct {
	Attempt       string // id of one attempt of a caller
	Deadline      string // milliseconds that the caller waits
	Key           string // API key
	Organisation  string // set for the backend server
	CallerService string // service of the instance where the request began
	Expect        string // id of the backend server that is meant
	Signature     string // stands on whole answers of a backend server
	NotRun        string // the backend server says that it did not run the request
	BackendID     string // id of the backend server that answered
	Load          string // load report of a backend server
}

// Load is what a backend server reports about itself.
type Load struct{ Running, Waiting, Slots int }

// Dialect translates the platform's HTTP vocabulary.
type Dialect interface {
	HeaderNames() HeaderNames
	ParseLoad(value string) (Load, bool)
	ParseLocalCall(path string, body []byte) (membership.Heartbeat, error)
	Acknowledgement() []byte
	IsReadinessPath(path string) bool

	// DecodeConfiguration decodes and checks the operator's document.
	DecodeConfiguration(document []byte) (*routing.Configuration, error)
}

// Store is the platform's store. Errors are those of package platform.
type Store interface {
	// Configuration returns the operator's document and the version of its
	// row, nothing and 0 while there is none.
	Configuration(ctx context.Context) (document []byte, version uint64, err error)

	// Scan and Commit are those of platform.Table.
	Scan(ctx context.Context, table, after string, limit int) ([]platform.Row, error)
	Commit(ctx context.Context, tx platform.Tx) (uint64, error)
}
