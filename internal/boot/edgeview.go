package boot

import (
	"slices"
	"strings"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/elect"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/platform"
)

// changed takes in what is news in the copy of the key-value service.
func (n *EdgeNode) changed(now time.Time, items []mirror.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := false
	for _, item := range items {
		switch {
		case item.Key == platform.KeyRouting:
			if n.applyRouting(item) {
				listed = true
			}
		case strings.HasPrefix(item.Key, platform.PrefixServers):
			if n.applyServer(now, item) {
				listed = true
			}
		}
	}
	if n.expireGone(now) {
		listed = true
	}
	if listed {
		n.tell(now)
	}
}

// applyRouting puts the operators' configuration in force. The caller holds mu.
func (n *EdgeNode) applyRouting(item mirror.Item) bool {
	if item.Removed {
		return false
	}
	routing, err := platform.DecodeRouting(item.Value)
	if err != nil {
		n.common.Log.Error(err, evlog.SettingsUnreadable, "revision", item.Revision)
		return false
	}
	if !n.edge.SetRouting(routing) {
		return false
	}
	n.common.Log.Info(evlog.SettingsInForce, "revision", uint64(routing.Revision), "stored_at", item.Revision, "routes", len(routing.Routes), "teams", len(routing.Teams))
	n.streams.SetForce(forceOf(routing))
	return true
}

// applyServer takes in a backend server's entry. It returns whether anything but the
// server's heartbeat changed. The caller holds mu.
func (n *EdgeNode) applyServer(now time.Time, item mirror.Item) bool {
	if item.Removed {
		was, known := n.members[item.Key]
		if !known {
			return false
		}
		if hold := n.feed.Returned().Add(goneHold); was.State == model.Live && now.Before(hold) {
			n.gone[item.Key] = hold
			return false
		}
		delete(n.members, item.Key)
		n.common.Log.Info(evlog.ServerGone, "server", was.ID, "revision", item.Revision)
		return true
	}
	m, err := platform.DecodeMember(item.Key, item.Value)
	if err != nil {
		n.common.Log.Error(err, evlog.MemberUnreadable, "key", item.Key, "revision", item.Revision)
		return false
	}
	delete(n.gone, item.Key)
	was, known := n.members[item.Key]
	if known && was == m {
		return false
	}
	n.members[item.Key] = m
	n.common.Log.Info(evlog.ServerSeen, "server", m.ID, "address", m.Address, "zone", m.Zone, "service", m.Service, "kind", m.Kind,
		"state", m.State.String(), "from", m.Span.From, "to", m.Span.To, "revision", item.Revision)
	return true
}

// expireGone forgets servers whose entry did not come back. The caller holds mu.
func (n *EdgeNode) expireGone(now time.Time) bool {
	changed := false
	for key, until := range n.gone {
		if now.Before(until) {
			continue
		}
		delete(n.gone, key)
		delete(n.members, key)
		changed = true
	}
	return changed
}

// tell hands the servers and daemons on to the parts that use them. The caller holds mu.
func (n *EdgeNode) tell(now time.Time) {
	routing := n.edge.Routing()
	if routing == nil {
		return
	}
	var list []model.Member
	seen := map[string]bool{}
	for _, m := range n.members {
		service, known := routing.Services[m.Service]
		if !known || service.Engine == nil {
			m.Role = model.Service
			n.edge.SetServer(m)
		} else {
			m.Role = model.Engine
		}
		seen[m.ID] = true
		list = append(list, m)
	}
	n.edge.KeepServers(seen)
	n.streams.SetList(list, n.sharing)
	for _, m := range list {
		if m.Role == model.Engine {
			n.streams.AddReport(route.ReportOf(now, m, routing.Services[m.Service].Engine))
		}
	}
}

// Seen implements drive.DutyView.
func (n *EdgeNode) Seen() elect.Seen {
	var s elect.Seen
	if item, ok := n.feed.Get(placementKey); ok {
		s.Owner, s.OwnerRevision = string(item.Value), item.Revision
	}
	s.Known = n.feed.At() > 0
	return s
}

// Pools implements drive.DutyView.
func (n *EdgeNode) Pools() []drive.Pool {
	routing := n.edge.Routing()
	if routing == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	suspects := n.board.Suspects(time.Now())
	var pools []drive.Pool
	for name, service := range routing.Services {
		if service.Engine == nil {
			continue
		}
		pool := drive.Pool{Profile: service.Engine}
		for _, m := range n.members {
			if m.Service == name {
				if slices.Contains(suspects, model.ServerID(m.ID)) {
					// Its layers are taken over before its entry is gone.
					m.State = model.Leaving
				}
				pool.Members = append(pool.Members, m)
			}
		}
		pools = append(pools, pool)
	}
	return pools
}
