package service

// Endpoint is one backend server of a service, reached through its local daemon.
type Endpoint struct {
	Peer        string // peer address of its daemon, ip:port; identifies the endpoint
	Service     string
	DataCentre  string
	Region      string
	Slots       uint32 // maximum number of concurrent calls of the backend server
	Connections uint32 // maximum number of connections that the backend server accepts
	Incarnation uint64 // set when its daemon starts; distinguishes successive daemons at one address
	Draining    bool   // accepts no new calls
	Evacuated   bool   // its data centre is evacuated: it must receive no calls
}
