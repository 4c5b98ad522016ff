// Package ranks decides which requests get room on the engines when there is too little for all of
// them: the most important ones first, over all daemons.
package ranks

// Load is the load of one rank of a service's requests, of one or more daemons.
type Load struct {
	// Rank is 0 for the most important requests.
	Rank int `cbor:"1,keyasint,omitempty"`
	// Running is the number of requests with an open stream, and Waiting that of requests without one or
	// whose stream has sent no token though it is due.
	Running int `cbor:"2,keyasint,omitempty"`
	Waiting int `cbor:"3,keyasint,omitempty"`
	// Started and Refused are the requests that got their first route, and that were refused for lack
	// of room, within the last half second.
	Started int `cbor:"4,keyasint,omitempty"`
	Refused int `cbor:"5,keyasint,omitempty"`
}

// ServiceLoads are the loads of a service's ranks, sorted by rank.
type ServiceLoads struct {
	Service string `cbor:"1,keyasint"`
	Loads   []Load `cbor:"2,keyasint"`
}
