package table

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestTeamsAreServedByWeight: teams that always have requests waiting are served in
// proportion to their weights, to within one request each, also when another team's queue
// is empty at times.
func TestTeamsAreServedByWeight(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		const maxCost = 10.0
		q, requests := NewQueue(), NewRequests()
		weights := map[model.Team]float64{}
		served := map[model.Team]float64{}
		next := model.RequestID(0)
		push := func(team model.Team) {
			next++
			requests.Add(&Request{Arrival: msgs.Arrival{ID: next, Team: team}})
			q.Push(0, team, weights[team], next)
		}
		for i := range rapid.IntRange(2, 5).Draw(t, "teams") {
			team := model.Team(fmt.Sprintf("/t%d", i))
			weights[team] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			push(team)
			push(team)
		}
		weights["/visitor"] = 1
		for range 400 {
			if rapid.IntRange(0, 5).Draw(t, "visitor") == 0 {
				push("/visitor")
			}
			r := requests.Get(q.Head())
			cost := float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			q.Pop(cost)
			requests.Remove(r.ID)
			served[r.Team] += cost
			if r.Team != "/visitor" {
				push(r.Team)
			}
			if err := q.Check(requests); err != nil {
				t.Fatal(err)
			}
		}
		for a := range weights {
			for b := range weights {
				if a == "/visitor" || b == "/visitor" {
					continue
				}
				diff := served[a]/weights[a] - served[b]/weights[b]
				if bound := maxCost/weights[a] + maxCost/weights[b]; diff > bound {
					t.Fatalf("team %s got %.1f more per weight than team %s, the fair maximum is %.1f", a, diff, b, bound)
				}
			}
		}
	})
}

// TestDropKeepsOrder: a dropped request is never served, and the others keep their order.
func TestDropKeepsOrder(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		q, requests := NewQueue(), NewRequests()
		var waiting []model.RequestID
		for id := range model.RequestID(20) {
			requests.Add(&Request{Arrival: msgs.Arrival{ID: id, Team: "/t"}})
			q.Push(0, "/t", 1, id)
			waiting = append(waiting, id)
			if rapid.Bool().Draw(t, "drop") {
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "which")
				q.Drop(0, "/t", waiting[i])
				requests.Remove(waiting[i])
				waiting = append(waiting[:i], waiting[i+1:]...)
			}
			if err := q.Check(requests); err != nil {
				t.Fatal(err)
			}
		}
		for _, id := range waiting {
			if q.Head() != id {
				t.Fatalf("got request %d at the head of the queue, want %d", q.Head(), id)
			}
			q.Pop(1)
		}
	})
}

// TestRanksGoFirst: the next request is always one of the most important rank that waits, the first of its team; no
// request is lost.
func TestRanksGoFirst(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		q, requests := NewQueue(), NewRequests()
		waiting := map[int]map[model.Team][]model.RequestID{}
		next, length := model.RequestID(0), 0
		for range 200 {
			switch rank := rapid.IntRange(0, 3).Draw(t, "rank"); rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1, 2:
				next++
				length++
				team := model.Team(rapid.SampledFrom([]string{"/a", "/b"}).Draw(t, "team"))
				requests.Add(&Request{Arrival: msgs.Arrival{ID: next, Team: team}, Place: ranks.Place{Order: rank}})
				q.Push(rank, team, 1, next)
				if waiting[rank] == nil {
					waiting[rank] = map[model.Team][]model.RequestID{}
				}
				waiting[rank][team] = append(waiting[rank][team], next)
			case 3:
				if length == 0 {
					continue
				}
				r := requests.Get(q.Head())
				for more := range r.Order {
					if len(waiting[more]["/a"])+len(waiting[more]["/b"]) > 0 {
						t.Fatalf("a request of rank %d goes before one of rank %d", r.Order, more)
					}
				}
				if first := waiting[r.Order][r.Team][0]; first != r.ID {
					t.Fatalf("request %d goes before request %d of its team", r.ID, first)
				}
				waiting[r.Order][r.Team] = waiting[r.Order][r.Team][1:]
				length--
				q.Pop(1)
				requests.Remove(r.ID)
			case 4:
				if ids := waiting[rank]["/a"]; len(ids) > 0 {
					q.Drop(rank, "/a", ids[0])
					requests.Remove(ids[0])
					waiting[rank]["/a"] = ids[1:]
					length--
				}
			}
			if err := q.Check(requests); err != nil {
				t.Fatal(err)
			}
			if q.Length != length {
				t.Fatalf("%d requests wait, but the queue's length is %d", length, q.Length)
			}
		}
	})
}
