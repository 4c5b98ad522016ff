package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOracleDetectsViolations adds one violation at a time to a correct history. Guards against
// checks that miss a violation or report a correct history.
func TestOracleDetectsViolations(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	booking := func() request {
		r := request{
			ID: "q1", Kind: kindBooking, Team: "north", KeyNumber: 1, SentAt: start.Add(10 * time.Second), EndedAt: start.Add(10*time.Second + time.Millisecond),
			Code: http.StatusOK, Header: http.Header{"Response-Signature": {"b0.q1"}}, Complete: true,
		}
		r.Body = fmt.Sprintf("b0 POST %s %d", r.path(), len(r.requestBody()))
		return r
	}
	stream := func() request {
		r := booking()
		r.Kind, r.Body = kindStream, "id: 1\ndata: piece 1 of q1\n\nid: 2\ndata: piece 2 of q1\n\n"
		return r
	}
	refused := func(code int) func(r *request, _ *history) {
		return func(r *request, _ *history) {
			r.Code, r.Header, r.Body = code, http.Header{"Retry-After": {"1"}}, ""
		}
	}
	type scenario struct {
		name  string
		alter func(r *request, h *history)
		base  func() request
		want  string
	}
	for _, tc := range []scenario{
		{"correct booking", func(*request, *history) {}, booking, ""},
		{"correct stream", func(*request, *history) {}, stream, ""},
		{"response to another request", func(r *request, _ *history) { r.Header.Set("Response-Signature", "b0.q2") }, booking, "signature"},
		{"modified body", func(r *request, _ *history) { r.Body += "x" }, booking, "is not the server's"},
		{"missing event", func(r *request, _ *history) { r.Body = r.Body[len("id: 1\ndata: piece 1 of q1\n\n"):] }, stream, "event 1 is number 2"},
		{"event of another stream", func(r *request, _ *history) { r.Body = strings.Replace(r.Body, "2 of q1", "2 of q7", 1) }, stream, "event 2"},
		{"truncated stream", func(r *request, _ *history) { r.Body = r.Body[:len("id: 1\ndata: piece 1 of q1\n\n")] }, stream, "ends as complete"},
		{"truncated event", func(r *request, _ *history) { r.Body = r.Body[:len(r.Body)-1] }, stream, "in the middle of an event"},
		{"failure with a signature", func(r *request, _ *history) { r.Code = http.StatusBadGateway }, booking, "a failed response carries"},
		{"booking that ran twice", func(_ *request, h *history) { h.Runs["q1"] = 2 }, booking, "ran 2 times"},
		{"run with another priority", func(_ *request, h *history) { h.Priorities["q1"] = "3" }, booking, "ran with the priority"},
		{"failures behind a cut", func(r *request, h *history) {
			r.Code, r.Complete, h.Runs["q1"] = 0, false, 0
			h.Requests = append(h.Requests, *r, *r)
			h.FaultWindows = append(h.FaultWindows, faultWindow{Name: cutFault, From: r.SentAt.Add(-2 * disruptionGrace), To: r.EndedAt})
		}, stream, "reached no server and failed 3 of 3"},
		{"refused booking that ran", refused(http.StatusServiceUnavailable), booking, "but it ran"},
		{"refusal without Retry-After", func(r *request, h *history) {
			refused(http.StatusTooManyRequests)(r, h)
			r.Header = nil
			h.Runs["q1"] = 0
		}, booking, "no Retry-After"},
		{"route not found", refused(http.StatusNotFound), booking, "every configuration allows"},
		{"refused key that is in force", refused(http.StatusUnauthorized), booking, "refused, but every"},
		{"served key that was withdrawn", func(_ *request, h *history) {
			h.Configs = append(h.Configs, configVersion{2, start.Add(time.Second)}, configVersion{3, start.Add(2 * time.Second)})
		}, booking, "served, but no configuration"},
		{"run for another team", func(_ *request, h *history) { h.Teams["q1"] = "south" }, booking, "for the team"},
		{"run without a request", func(_ *request, h *history) { h.Runs["q9"] = 1 }, booking, "no caller sent it"},
		{"invalid chain", func(_ *request, h *history) { h.BadChains = []string{"x=0-4"} }, stream, "over the invalid chain x=0-4"},
		{"server over its limit", func(_ *request, h *history) {
			h.Limited = []limitedServer{{ID: "b0", PerSecond: 1, From: start, Arrivals: slices.Repeat([]time.Time{start.Add(5 * time.Second)}, 12)}}
		}, booking, "b0 got 12 requests"},
		{"server at its limit", func(_ *request, h *history) {
			h.Limited = []limitedServer{{ID: "b0", PerSecond: 1, From: start, Arrivals: slices.Repeat([]time.Time{start.Add(5 * time.Second)}, 11)}}
		}, booking, ""},
		{"request that crashes servers again and again", func(_ *request, h *history) {
			h.Crashing = crashingRequest{Crashes: slices.Repeat([]time.Time{start}, 3), Arrivals: slices.Repeat([]time.Time{start.Add(4 * time.Second)}, 4)}
		}, booking, "reached servers 4 times"},
		{"request that crashes servers, refused in time", func(_ *request, h *history) {
			h.Crashing = crashingRequest{Crashes: slices.Repeat([]time.Time{start}, 3), Arrivals: slices.Repeat([]time.Time{start.Add(2 * time.Second)}, 4)}
		}, booking, ""},
		{"late response", func(r *request, _ *history) { r.EndedAt = r.SentAt.Add(deadline + time.Second) }, booking, "took"},
		{"incomplete response", func(r *request, _ *history) { r.Complete = false }, stream, "no disruption"},
		{"incomplete response during a planned stop", func(r *request, h *history) {
			r.Complete = false
			h.FaultWindows = append(h.FaultWindows, faultWindow{Name: "term", Planned: true, From: r.SentAt, To: r.EndedAt})
		}, stream, "no disruption"},
		{"stream cut during a planned operation", func(r *request, h *history) {
			r.Complete, h.CheckTimes = false, false
			h.FaultWindows = append(h.FaultWindows, faultWindow{Name: "drain", Planned: true, From: r.SentAt, To: r.EndedAt})
		}, stream, "cut before its deadline"},
		{"return to an older configuration", func(r *request, h *history) {
			later := *r
			r.KeyNumber, later.ID = 3, "q2"
			later.SentAt, later.EndedAt = r.EndedAt.Add(time.Second), r.EndedAt.Add(time.Second)
			h.Requests = append(h.Requests, later)
		}, booking, "served key 3 (q1), then key 1 (q2)"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := &history{
				Requests: []request{tc.base()}, Runs: map[string]int{"q1": 1}, Teams: map[string]string{"q1": "north"}, Priorities: map[string]string{},
				Configs: []configVersion{{1, start}}, StreamEvents: 2, CheckTimes: true,
			}
			h.Priorities["q1"] = h.Requests[0].priority()
			tc.alter(&h.Requests[0], h)
			found := strings.Join(h.violations(), "\n")
			assert.Assert(t, (tc.want == "") == (found == "") && strings.Contains(found, tc.want), "%q", found)
		})
	}
}
