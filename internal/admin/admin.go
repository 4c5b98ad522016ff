// Package admin is the operators' side: the settings, the status of the fleet
// and the burn report over HTTP. The command line is its only client.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushpond.example/bulrushpond/internal/burn"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Shown is the settings at one path.
type Shown struct {
	Path     string         `json:"path"`
	Revision model.Revision `json:"revision"`
	// Changed is the revision of the node's own last change: the base for the
	// next one.
	Changed model.Revision `json:"changed"`
	Exists  bool           `json:"exists"`
	// Nodes are the paths of the whole tree.
	Nodes  []string       `json:"nodes"`
	Values []setts.Origin `json:"values"`
}

// ServerStatus is one backend server as a daemon sees it.
type ServerStatus struct {
	Server  model.ServerID `json:"server"`
	Model   string         `json:"model"`
	Span    model.Span     `json:"span"`
	State   string         `json:"state"`
	Own     int            `json:"own_streams"`
	Running int            `json:"reported_running"`
}

// Status is one daemon's view.
type Status struct {
	Daemon     model.DaemonID         `json:"daemon"`
	Revision   model.Revision         `json:"revision"`
	Ready      string                 `json:"ready"`
	InProgress int                    `json:"in_progress"`
	Recovered  uint64                 `json:"streams_recovered"`
	Dropped    uint64                 `json:"tokens_dropped"`
	Owned      []int                  `json:"shards_owned"`
	Owners     map[int]model.DaemonID `json:"shard_owners"`
	Live       []model.DaemonID       `json:"daemons_live"`
	Servers    []ServerStatus         `json:"servers"`
}

// InForce tells which daemons have a revision in force.
type InForce struct {
	Revision model.Revision   `json:"revision"`
	Reached  []model.DaemonID `json:"reached"`
	Behind   []model.DaemonID `json:"behind"`
}

// Daemon is what the operators' side needs of its daemon.
type Daemon interface {
	Show(path string) (Shown, error)
	Tree() (setts.Tree, error)
	Submit(ctx context.Context, c setts.Change) (setts.Change, error)
	History(ctx context.Context) ([]setts.Change, error)
	InForce(ctx context.Context, r model.Revision) InForce
	Status() Status
	Burn(ctx context.Context) (burn.Report, error)
}

// Admin serves operators.
type Admin struct {
	daemon    Daemon
	keySHA256 string
}

// New returns the operators' side. An empty digest asks for no key.
func New(d Daemon, keySHA256 string) *Admin { return &Admin{daemon: d, keySHA256: keySHA256} }

// Limits of the operators' HTTP server.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 1 << 20
	submitTimeout  = 10 * time.Second
)

// Server returns an HTTP server for operators.
func (a *Admin) Server() *http.Server {
	return &http.Server{Handler: a.Handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Handler returns the operators' paths.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/settings", a.show)
	mux.HandleFunc("GET /admin/settings/tree", a.tree)
	mux.HandleFunc("POST /admin/settings", a.submit)
	mux.HandleFunc("GET /admin/settings/history", a.history)
	mux.HandleFunc("GET /admin/settings/in-force", a.inForce)
	mux.HandleFunc("GET /admin/status", func(w http.ResponseWriter, _ *http.Request) { send(w, a.daemon.Status()) })
	mux.HandleFunc("GET /admin/burn", a.burn)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return a.guard(mux)
}

// guard lets only holders of the operators' key in.
func (a *Admin) guard(next http.Handler) http.Handler {
	if a.keySHA256 == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(a.keySHA256))) != 1 {
			http.Error(w, "the operators' key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func send(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (a *Admin) show(w http.ResponseWriter, r *http.Request) {
	shown, err := a.daemon.Show(r.URL.Query().Get("at"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	send(w, shown)
}

func (a *Admin) tree(w http.ResponseWriter, _ *http.Request) {
	t, err := a.daemon.Tree()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	send(w, t)
}

func (a *Admin) submit(w http.ResponseWriter, r *http.Request) {
	var c setts.Change
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil || c.ID == "" || c.Path == "" {
		http.Error(w, "not a change of settings", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	accepted, err := a.daemon.Submit(ctx, c)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	send(w, accepted)
}

// statusOf maps why a change was not accepted. A gateway timeout means that it
// may have been.
func statusOf(err error) int {
	var conflict *setts.ConflictError
	var problem *setts.CheckError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.As(err, &problem):
		return http.StatusBadRequest
	case errors.Is(err, rings.ErrUnknown):
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func (a *Admin) history(w http.ResponseWriter, r *http.Request) {
	changes, err := a.daemon.History(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	send(w, changes)
}

func (a *Admin) inForce(w http.ResponseWriter, r *http.Request) {
	rev, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a number", http.StatusBadRequest)
		return
	}
	send(w, a.daemon.InForce(r.Context(), model.Revision(rev)))
}

func (a *Admin) burn(w http.ResponseWriter, r *http.Request) {
	report, err := a.daemon.Burn(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	send(w, report)
}
