// Package evlog gives every log line a number. The catalogue in docs/EVENTS.md
// lists them all, and a test holds the two against each other.
package evlog

import "github.com/go-logr/logr"

//go:generate enumer -type=Event -transform=snake -output=event_enumer.go

// Event is the number of a log line. Numbers are never used again.
type Event int

const (
	// DaemonStarted is the first event of a process.
	DaemonStarted Event = 100
	// DaemonStopping tells that a planned stop began.
	DaemonStopping Event = 101
	// DaemonStopped tells that a planned stop ended with nothing in progress.
	DaemonStopped Event = 102
	// DaemonStopForced tells that a planned stop ended with work in progress.
	DaemonStopForced Event = 103
	// PartFailed tells that a part of the daemon ended and is started again.
	PartFailed Event = 104
	// FileReloaded tells that the VM's settings file was read anew.
	FileReloaded Event = 105
	// FileUnreadable tells that it could not be read; what was read before holds.
	FileUnreadable Event = 106
	// LinesDropped tells how many log lines were dropped since nobody read them.
	LinesDropped Event = 107
	// SettingsInForce tells that a new revision is in force here.
	SettingsInForce Event = 200
	// SettingsUnreadable tells that the settings log holds what cannot be read.
	SettingsUnreadable Event = 201
	// SettingsStale tells that neither the platform nor a peer confirms that
	// the settings are current.
	SettingsStale Event = 202
	// SettingsCurrent ends SettingsStale.
	SettingsCurrent Event = 203
	// SettingsOlder tells that the platform holds an older revision than this
	// daemon.
	SettingsOlder Event = 204
	// ListUnreachable tells that the membership list cannot be read.
	ListUnreachable Event = 300
	// ListEmptied tells that the list lost all engines at once.
	ListEmptied Event = 301
	// ServerLeaves tells that a backend server gets no more new work.
	ServerLeaves Event = 302
	// ServerReturned tells that a backend server will get work again.
	ServerReturned Event = 303
	// ServerAvoided tells that a backend server failed and gets no work.
	ServerAvoided Event = 304
	// StreamMoved tells that a request goes on by another route.
	StreamMoved Event = 305
	// TokenDropped tells that a late or foreign token was not accepted.
	TokenDropped Event = 306
	// ServerStalled tells that work waits for a backend server that does not go on.
	ServerStalled Event = 307
	// MemberUnreadable tells that a backend server's entry cannot be used.
	MemberUnreadable Event = 308
	// ServerSeen tells that a backend server's entry changed.
	ServerSeen Event = 309
	// ServerGone tells that a backend server's entry was removed.
	ServerGone Event = 310
	// ShardOwned tells that this daemon owns a shard.
	ShardOwned Event = 400
	// ShardLost tells that this daemon lost a shard.
	ShardLost Event = 401
	// ShardReleased tells that this daemon handed a shard over.
	ShardReleased Event = 402
	// ShardFull tells that a shard's journal has no room.
	ShardFull Event = 403
	// ShardCorrupt tells that a shard's journal cannot be read.
	ShardCorrupt Event = 404
	// StoreDown tells that the key-value service refuses calls.
	StoreDown Event = 405
	// StoreUp ends StoreDown.
	StoreUp Event = 406
	// OrderGiven tells that an engine took an order.
	OrderGiven Event = 407
	// OrderFailed tells that an engine did not take an order.
	OrderFailed Event = 408
	// DutyOwned tells that this daemon gives engines their layers from now on.
	DutyOwned Event = 409
	// DutyLost ends DutyOwned.
	DutyLost Event = 410
	// PeerUnreachable tells that another daemon does not answer.
	PeerUnreachable Event = 500
	// RequestFailed tells that a caller was sent a failure.
	RequestFailed Event = 600
	// RequestServed tells how a caller's request ended.
	RequestServed Event = 601
	// RequestRepeated tells that a request was sent again.
	RequestRepeated Event = 602
	// StreamOpened tells by which chain of engines a request runs.
	StreamOpened Event = 603
	// StreamFailed tells why a chain did not finish a request.
	StreamFailed Event = 604
	// RequestSent tells to which server of a plain service a request was sent, and why.
	RequestSent Event = 605
)

// Log writes numbered events.
type Log struct{ log logr.Logger }

// New returns a log over a sink.
func New(l logr.Logger) Log { return Log{log: l} }

// Info writes an event. The pairs are names in snake case and their values.
func (l Log) Info(e Event, pairs ...any) {
	l.log.Info(e.String(), append([]any{"event", int(e)}, pairs...)...)
}

// Debug writes an event that is usually left out.
func (l Log) Debug(e Event, pairs ...any) {
	l.log.V(1).Info(e.String(), append([]any{"event", int(e)}, pairs...)...)
}

// Error writes an event with its cause.
func (l Log) Error(err error, e Event, pairs ...any) {
	l.log.Error(err, e.String(), append([]any{"event", int(e)}, pairs...)...)
}
