package service

// Endpoint is one backend server of a service, with the daemon beside it.
type Endpoint struct {
	Peer        string // peer address of its daemon, ip:port; identifies the endpoint
	Service     string
	DataCentre  string
	Region      string
	Slots       uint32 // calls that the backend server runs at once
	Connections uint32 // connections that the backend server accepts
	Incarnation uint64 // drawn when its daemon started, tells replacements apart
	Draining    bool   // takes no new work
}
