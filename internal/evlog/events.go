// Package evlog writes structured log lines, each with an event number and name. All
// events are listed in docs/EVENTS.md; a test compares that page with the code.
package evlog

import "github.com/go-logr/logr"

//go:generate enumer -type=Event -transform=snake -output=event_enumer.go

// Event is the kind of a log line. A number is never reused for another event.
type Event int

const (
	// DaemonStarted is the first event that a process logs.
	DaemonStarted Event = 100
	// DaemonStopping means that a graceful shutdown began.
	DaemonStopping Event = 101
	// DaemonStopped means that a graceful shutdown ended with no requests in progress.
	DaemonStopped Event = 102
	// DaemonStopForced means that a graceful shutdown ended with requests still in
	// progress.
	DaemonStopForced Event = 103
	// PartFailed means that a supervised part of the daemon failed and is restarted.
	PartFailed Event = 104
	// FileReloaded means that the VM's settings file was read again.
	FileReloaded Event = 105
	// FileUnreadable means that the VM's settings file could not be read; the values read
	// before stay in force.
	FileUnreadable Event = 106
	// LinesDropped says how many log lines were dropped because the reader of the log was
	// too slow.
	LinesDropped Event = 107
	// WorkFailed means that one piece of work of a part failed and is left out.
	WorkFailed Event = 108
	// SettingsInForce means that this daemon applied a new revision of the settings.
	SettingsInForce Event = 200
	// SettingsUnreadable means that the settings log cannot be decoded.
	SettingsUnreadable Event = 201
	// SettingsStale means that neither the platform nor a peer confirms that the
	// settings are current.
	SettingsStale Event = 202
	// SettingsCurrent means that the settings are confirmed as current again after
	// SettingsStale.
	SettingsCurrent Event = 203
	// SettingsOlder means that the platform has an older revision of the settings than
	// this daemon.
	SettingsOlder Event = 204
	// ListUnreachable means that the membership list cannot be fetched.
	ListUnreachable Event = 300
	// ListEmptied means that all engines disappeared from the membership list at once.
	ListEmptied Event = 301
	// ServerLeaves means that a backend server is leaving and gets no new requests.
	ServerLeaves Event = 302
	// ServerReturned means that a backend server gets new requests again.
	ServerReturned Event = 303
	// ServerAvoided means that a backend server failed and gets no requests for a while.
	ServerAvoided Event = 304
	// StreamMoved means that a request failed over to another route.
	StreamMoved Event = 305
	// TokenDropped means that a token was dropped because it was late or did not belong
	// to the current route of its request.
	TokenDropped Event = 306
	// ServerStalled means that requests wait for a backend server that makes no progress.
	ServerStalled Event = 307
	// MemberUnreadable means that a backend server's entry in the membership list is
	// invalid.
	MemberUnreadable Event = 308
	// ServerSeen means that a backend server's entry was added or changed.
	ServerSeen Event = 309
	// ServerGone means that a backend server's entry was removed.
	ServerGone Event = 310
	// ServerSaidLeaving means that an answer of a server, or another daemon, said that the
	// server is about to stop.
	ServerSaidLeaving Event = 311
	// ServerPaused means that a server declined a request and asked for a pause.
	ServerPaused Event = 312
	// ServerEntryHeld means that an entry from an older copy of the key-value service
	// contradicts what is known, and does not count yet.
	ServerEntryHeld Event = 313
	// PartSuspected means that engines ended under requests with a prompt part, and that no
	// engine has answered one.
	PartSuspected Event = 314
	// PartBlocked means that requests with a prompt part are refused, since engines crash on it.
	PartBlocked Event = 315
	// PartUnblocked means that requests with a prompt part are accepted again.
	PartUnblocked Event = 316
	// BlocksUnreadable means that the stored blocks of prompt parts cannot be used.
	BlocksUnreadable Event = 317
	// FleetUnreadable means that the stored number of daemons cannot be used.
	FleetUnreadable Event = 318
	// ValueNotStored means that a value for daemons that start was not written, or not surely.
	ValueNotStored Event = 319
	// ServerLimited means that a server named a limit for requests, or none any more.
	ServerLimited Event = 320
	// HeaderInvalid means that a server's answer had a header that cannot be used.
	HeaderInvalid Event = 321
	// RequestSuspected means that servers ended under a request that came again, and that none has
	// answered it.
	RequestSuspected Event = 322
	// RequestBlocked means that a request is refused, since servers crash on it.
	RequestBlocked Event = 323
	// RequestUnblocked means that a request that was blocked is accepted again.
	RequestUnblocked Event = 324
	// ServiceCutOff means that this daemon reaches no server of a service.
	ServiceCutOff Event = 325
	// ServiceReached means that this daemon reaches the servers of a service again.
	ServiceReached Event = 326
	// AnswerBroken means that the answer of a server, or of the key-value service, was broken, and is not used.
	AnswerBroken Event = 327
	// ShardOwned means that this daemon became the owner of a journal shard.
	ShardOwned Event = 400
	// ShardLost means that this daemon lost the ownership of a shard.
	ShardLost Event = 401
	// ShardReleased means that this daemon gave up the ownership of a shard on purpose.
	ShardReleased Event = 402
	// ShardFull means that a shard's journal has no room.
	ShardFull Event = 403
	// ShardCorrupt means that a shard's journal cannot be decoded.
	ShardCorrupt Event = 404
	// StoreDown means that the key-value service refuses calls.
	StoreDown Event = 405
	// StoreUp means that the key-value service accepts calls again after StoreDown.
	StoreUp Event = 406
	// OrderGiven means that an engine accepted an order.
	OrderGiven Event = 407
	// OrderFailed means that an order to an engine failed.
	OrderFailed Event = 408
	// DutyOwned means that this daemon was elected to assign layers to engines.
	DutyOwned Event = 409
	// DutyLost means that this daemon no longer assigns layers to engines.
	DutyLost Event = 410
	// StoreRestored means that the key-value service came back from an older copy of itself.
	StoreRestored Event = 411
	// PlanFailed means that the layers of a service's engines could not be planned.
	PlanFailed Event = 412
	// TickFailed means that the decisions of one tick failed.
	TickFailed Event = 413
	// StoreHistorySkipped means that there were too many changes in the key-value service to read them one by one.
	StoreHistorySkipped Event = 414
	// PeerUnreachable means that another daemon does not answer.
	PeerUnreachable Event = 500
	// RequestFailed means that a caller was sent an error.
	RequestFailed Event = 600
	// RequestServed says how a caller's request ended.
	RequestServed Event = 601
	// RequestRepeated means that a request was retried.
	RequestRepeated Event = 602
	// StreamOpened says which chain of engines runs a request.
	StreamOpened Event = 603
	// StreamFailed says why a chain of engines did not complete a request.
	StreamFailed Event = 604
	// RequestSent says to which server of a plain service a request was sent, and why.
	RequestSent Event = 605
	// StreamStalled says which server a stream in progress waits for.
	StreamStalled Event = 606
	// RequestProxied says which daemon serves a request whose servers this one does not reach.
	RequestProxied Event = 607
	// RequestProxyFailed says why another daemon did not serve a request to its end.
	RequestProxyFailed Event = 608
	// ClientsLimited says how often clients of a port were refused or lost their connections since what they held together
	// reached a limit.
	ClientsLimited Event = 609
	// RefusalsUnlogged says how many requests were refused without a line of their own.
	RefusalsUnlogged Event = 610
)

// Log writes events to a logr.Logger.
type Log struct{ log logr.Logger }

// New returns a Log that writes to l.
func New(l logr.Logger) Log { return Log{log: l} }

// maxValueBytes bounds a value of an event, since some are chosen by callers and servers. Longer ones are cut off.
const maxValueBytes = 4 << 10

// Info writes an event. The pairs are alternating keys, in snake case, and values.
func (l Log) Info(e Event, pairs ...any) {
	l.log.Info(e.String(), fieldsOf(e, pairs)...)
}

// Debug writes an event at debug level (V(1)), which is normally disabled.
func (l Log) Debug(e Event, pairs ...any) {
	l.log.V(1).Info(e.String(), fieldsOf(e, pairs)...)
}

// Error writes an event with the error that caused it.
func (l Log) Error(err error, e Event, pairs ...any) {
	l.log.Error(err, e.String(), fieldsOf(e, pairs)...)
}

// fieldsOf returns the fields of an event, with texts of at most maxValueBytes.
func fieldsOf(e Event, pairs []any) []any {
	fields := append([]any{"event", int(e)}, pairs...)
	for i, value := range fields {
		if text, ok := value.(string); ok && len(text) > maxValueBytes {
			fields[i] = text[:maxValueBytes]
		}
	}
	return fields
}
