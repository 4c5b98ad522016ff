package boot

import (
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/internal/answer"
	"bulrushpond.example/bulrushpond/internal/core/elect"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/guard"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/platform"
)

// applyStoreChanges applies changed entries of the copy of the key-value service.
func (d *EdgeDaemon) applyStoreChanges(now time.Time, changes mirror.Changes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changesAsOf = now
	serversChanged := false
	for _, item := range changes.Items {
		d.contain("store changes", item.Key, func() {
			serversChanged = d.applyItem(now, item, changes.Restored) || serversChanged
		})
	}
	d.contain("store changes", "", func() { serversChanged = d.roster.Expire(now) || serversChanged })
	if serversChanged {
		d.contain("servers", "", func() { d.distributeServers(now) })
	}
}

// applyItem applies one changed entry and reports whether the backend servers changed. restored is set for an entry from
// the first snapshot of a restored service. The caller holds mu.
func (d *EdgeDaemon) applyItem(now time.Time, item mirror.Item, restored bool) bool {
	switch {
	case item.Key == platform.KeyRouting:
		return d.applyRouting(item)
	case d.applyStoredBlocks(item):
	case item.Key == fleetKey:
		d.applyStoredFleet(item)
	case strings.HasPrefix(item.Key, platform.ServerKeyPrefix):
		return d.applyServer(now, item, restored)
	}
	return false
}

// contain does one piece of the work of a part. If it panics, it is logged and left out, so that the part goes on with
// the rest.
func (d *EdgeDaemon) contain(part, key string, work func()) {
	if err := guard.Run(work); err != nil {
		d.deps.Log.Error(err, evlog.WorkFailed, "part", part, "key", key)
	}
}

// applyRouting puts the operators' configuration in force and reports whether it did.
// The caller holds mu.
func (d *EdgeDaemon) applyRouting(item mirror.Item) bool {
	if item.Removed {
		return false
	}
	routing, err := platform.DecodeRouting(item.Value)
	if err != nil {
		d.deps.Log.Error(err, evlog.SettingsUnreadable, "revision", item.Revision)
		if d.edge.Routing() != nil {
			return false
		}
		// A daemon without settings has none that it could keep.
		if routing, err = platform.DecodeReadableRouting(item.Value); err != nil {
			d.deps.Log.Error(err, evlog.SettingsUnreadable, "revision", item.Revision, "detail", "no part of them can be used")
			return false
		}
	}
	if !d.edge.SetRouting(routing) {
		return false
	}
	d.deps.Log.Info(evlog.SettingsInForce, "revision", uint64(routing.Revision), "stored_at", item.Revision, "routes", len(routing.Routes), "teams", len(routing.Teams))
	d.streams.SetSettings(coreSettings(routing))
	return true
}

// applyServer applies the entry of a backend server. It reports whether the set of servers
// or a server's data changed; a renewed heartbeat alone is no change. restored is set for an
// entry from the first snapshot of a restored service. The caller holds mu.
func (d *EdgeDaemon) applyServer(now time.Time, item mirror.Item, restored bool) bool {
	if item.Removed {
		previous, _ := d.roster.Get(item.Key)
		removed := d.roster.Remove(now, item.Key, restored, d.feed.RecoveredAt())
		if removed {
			d.deps.Log.Info(evlog.ServerGone, "server", previous.ID, "revision", item.Revision, "restored", restored)
		}
		return removed
	}
	member, err := platform.DecodeMember(item.Key, item.Value)
	if err != nil {
		d.deps.Log.Error(err, evlog.MemberUnreadable, "key", item.Key, "revision", item.Revision)
		return false
	}
	former, _ := d.roster.At(member.Address)
	changed := d.roster.Put(now, item.Key, member, restored)
	if changed && former.StartedAt.Before(member.StartedAt) && !former.StartedAt.IsZero() && former.ID != member.ID {
		d.deps.Log.Info(evlog.ServerGone, "server", former.ID, "revision", item.Revision, "restored", restored, "replaced_by", member.ID)
	}
	event := evlog.ServerSeen
	switch {
	case d.roster.Holds(item.Key):
		event = evlog.ServerEntryHeld
	case !changed:
		return false
	}
	d.deps.Log.Info(event, "server", member.ID, "address", member.Address, "zone", member.Zone, "service", member.Service, "kind", member.Kind,
		"state", member.State.String(), "from", member.Span.From, "to", member.Span.To, "revision", item.Revision)
	return changed
}

// ServerLeaves implements engine.Observer.
func (d *EdgeDaemon) ServerLeaves(server string) {
	d.serversLeave([]model.ServerID{model.ServerID(server)}, "its answer")
}

// serversLeave keeps new work from servers that said that they will stop. source is logged.
func (d *EdgeDaemon) serversLeave(servers []model.ServerID, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, id := range servers {
		if d.roster.MarkLeaving(string(id)) {
			changed = true
			d.leaving.Add(1)
			d.deps.Log.Info(evlog.ServerSaidLeaving, "server", id, "source", source)
		}
	}
	if changed {
		// A later time would make what the key-value service says next seem older.
		d.distributeServers(d.changesAsOf)
	}
}

// ServerPauses implements engine.Observer.
func (d *EdgeDaemon) ServerPauses(server string, until time.Time) {
	d.pauses.Add(1)
	d.streams.PauseServer(model.ServerID(server), until)
	d.edge.PauseServer(server, until)
}

// ServerLimits implements engine.Observer.
func (d *EdgeDaemon) ServerLimits(server string, perSecond float64) {
	d.limitedAnswers.Add(1)
	d.recordLimit(limit.Statement{Server: model.ServerID(server), Limited: true, PerSecond: perSecond})
}

// ServerUnlimited implements engine.Observer.
func (d *EdgeDaemon) ServerUnlimited(server string) {
	d.recordLimit(limit.Statement{Server: model.ServerID(server)})
}

func (d *EdgeDaemon) recordLimit(said limit.Statement) {
	d.streams.RecordLimit(said)
	d.edge.RecordLimit(said)
}

// InvalidHeader implements engine.Observer.
func (d *EdgeDaemon) InvalidHeader(server, header, value string) {
	d.invalidHeaders.Add(1)
	d.deps.Log.Info(evlog.HeaderInvalid, "server", server, "header", header, "value", value)
}

// AnswerBroken implements engine.Observer.
func (d *EdgeDaemon) AnswerBroken(server string, fault answer.Fault, detail string) {
	d.broken.AnswerBroken(server, fault, detail)
}

// distributeServers passes the backend servers to the components that use them. The
// caller holds mu.
func (d *EdgeDaemon) distributeServers(now time.Time) {
	routing := d.edge.Routing()
	if routing == nil {
		return
	}
	members := d.usableMembers(routing)
	known := map[string]bool{}
	for _, member := range members {
		if member.Role == model.Service {
			d.edge.SetServer(member)
		}
		known[member.ID] = true
	}
	d.edge.RetainServers(known)
	d.streams.SetList(members, d.daemonCount)
	for _, member := range members {
		if member.Role == model.Engine {
			d.streams.AddReport(route.ReportOf(now, member, routing.Services[member.Service].Engine))
		}
	}
}

// usableMembers returns the backend servers that the routing allows to use, with the role that their service has there.
// An entry with layers that the service's model does not have names no server to use: it comes from another writer. The
// caller holds mu.
func (d *EdgeDaemon) usableMembers(routing *setts.Routing) []model.Member {
	var members []model.Member
	rejected := map[string]model.Span{}
	for key, member := range d.roster.Members() {
		service := routing.Services[member.Service]
		member.Role = model.Service
		if service.Engine != nil {
			member.Role = model.Engine
			if !service.Engine.HasLayers(member.Span) {
				rejected[key] = member.Span
				if d.rejectedSpans[key] != member.Span {
					err := trace.BadParameter("the model of %s has %d layers", member.Service, service.Engine.Layers)
					d.deps.Log.Error(err, evlog.MemberUnreadable, "key", key, "from", member.Span.From, "to", member.Span.To)
				}
				continue
			}
		}
		members = append(members, member)
	}
	d.rejectedSpans = rejected
	return members
}

// OwnerView implements drive.DutyView with the owner of the placement.
func (d *EdgeDaemon) OwnerView() elect.OwnerView {
	item, position, ok := d.feed.Get(placementKey)
	seen := elect.OwnerView{Known: position.Revision > 0, Era: position.Era}
	if ok {
		seen.Owner, seen.OwnerRevision = string(item.Value), item.Revision
	}
	return seen
}

// Yields implements drive.DutyView.
func (d *EdgeDaemon) Yields() bool {
	cutOff, hasProxies := d.edge.CutOff(), d.edge.HasProxies()
	routing := d.edge.Routing()
	return routing != nil && hasProxies && slices.ContainsFunc(cutOff, func(name string) bool {
		service, known := routing.Services[name]
		return known && service.Engine != nil
	})
}

// HasCallers implements drive.DutyView.
func (d *EdgeDaemon) HasCallers() bool { return d.edge.HasCallers() }

// Pools implements drive.DutyView. Suspected engines are marked as leaving.
func (d *EdgeDaemon) Pools() []drive.Pool {
	routing := d.edge.Routing()
	if routing == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	suspects := d.loadBoard.Suspects(time.Now())
	members := d.usableMembers(routing)
	var pools []drive.Pool
	for name, service := range routing.Services {
		if service.Engine == nil {
			continue
		}
		pool := drive.Pool{Service: name, Profile: service.Engine}
		for _, member := range members {
			if member.Service == name {
				if slices.Contains(suspects, model.ServerID(member.ID)) {
					// Its layers are reassigned before its entry expires.
					member.State = model.Leaving
				}
				pool.Members = append(pool.Members, member)
			}
		}
		pools = append(pools, pool)
	}
	return pools
}
