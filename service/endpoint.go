package service

import "time"

// Endpoint is one backend server of a service, reached through its local daemon.
type Endpoint struct {
	Peer        string // peer address of its daemon, ip:port; identifies the endpoint
	Service     string
	DataCentre  string
	Region      string
	Slots       uint32 // maximum number of concurrent calls of the backend server
	Connections uint32 // maximum number of connections that the backend server accepts
	Incarnation uint64 // set when its backend server or its daemon starts; measurements end with it
	Process     int64  // set when its daemon starts, if Incarnation is not; a drain ends with it
	Draining    bool   // accepts no new calls
	Evacuated   bool   // its data centre is evacuated: it must receive no calls

	// ColdShare is the rate in calls a second that this daemon may send to the
	// endpoint while it is cold; 0 if cold endpoints are treated as others.
	ColdShare float64
	ColdUntil time.Time // end of the coldness that its daemon announced; zero if none

	// SlowStart is how long a backend server of the service is slow after its start;
	// 0 if new endpoints are treated as others.
	SlowStart time.Duration
}
