// Package admin implements the HTTP API for operators: settings, the status of a daemon and
// the burn report. The command line is its only client.
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
	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// Shown is the settings at one path of the tree.
type Shown struct {
	Path     string         `json:"path"`
	Revision model.Revision `json:"revision"`
	// Changed is the revision of the node's latest change: the base revision of the next
	// one.
	Changed model.Revision `json:"changed"`
	Exists  bool           `json:"exists"`
	// Nodes are the paths of all nodes of the tree.
	Nodes  []string       `json:"nodes"`
	Values []setts.Origin `json:"values"`
}

// ServerStatus is the status of one backend server, as known to the daemon.
type ServerStatus struct {
	Server          model.ServerID `json:"server"`
	Model           string         `json:"model"`
	Span            model.Span     `json:"span"`
	State           string         `json:"state"`
	OwnStreams      int            `json:"own_streams"`
	ReportedRunning int            `json:"reported_running"`
}

// Status is the status of one daemon.
type Status struct {
	Daemon           model.DaemonID         `json:"daemon"`
	Revision         model.Revision         `json:"revision"`
	Ready            string                 `json:"ready"`
	InProgress       int                    `json:"in_progress"`
	RecoveredStreams uint64                 `json:"streams_recovered"`
	DroppedTokens    uint64                 `json:"tokens_dropped"`
	OwnedShards      []int                  `json:"shards_owned"`
	ShardOwners      map[int]model.DaemonID `json:"shard_owners"`
	LiveDaemons      []model.DaemonID       `json:"daemons_live"`
	Servers          []ServerStatus         `json:"servers"`
}

// InForce lists the daemons that have a revision in force, and those that are behind.
type InForce struct {
	Revision model.Revision   `json:"revision"`
	Reached  []model.DaemonID `json:"reached"`
	Behind   []model.DaemonID `json:"behind"`
}

// Daemon is the interface of the daemon that the API serves.
type Daemon interface {
	Show(path string) (Shown, error)
	Tree() (setts.Tree, error)
	Submit(ctx context.Context, c setts.Change) (setts.Change, error)
	History(ctx context.Context) ([]setts.Change, error)
	InForce(ctx context.Context, r model.Revision) InForce
	Status() Status
	Burn(ctx context.Context) (burn.Report, error)
}

// Admin serves the API for operators.
type Admin struct {
	daemon    Daemon
	keySHA256 string
}

// New returns the API of a daemon. keySHA256 is the hexadecimal digest of the operators'
// key; if it is empty, no key is required.
func New(daemon Daemon, keySHA256 string) *Admin { return &Admin{daemon: daemon, keySHA256: keySHA256} }

// Limits of the HTTP server for operators.
const (
	headerTimeout = 5 * time.Second
	// readTimeout bounds the reading of a request with its body, and idleTimeout closes idle connections.
	readTimeout = 15 * time.Second
	idleTimeout = 2 * time.Minute
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes = 32 << 10
	maxBodyBytes   = 1 << 20
	submitTimeout  = 10 * time.Second
)

// Server returns the HTTP server for operators.
func (a *Admin) Server() *http.Server {
	return &http.Server{
		Handler: a.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeaderBytes,
	}
}

// Handler returns the handler of all paths of the API.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/settings", a.show)
	mux.HandleFunc("GET /admin/settings/tree", a.tree)
	mux.HandleFunc("POST /admin/settings", a.submit)
	mux.HandleFunc("GET /admin/settings/history", a.history)
	mux.HandleFunc("GET /admin/settings/in-force", a.inForce)
	mux.HandleFunc("GET /admin/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.daemon.Status()) })
	mux.HandleFunc("GET /admin/burn", a.burn)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return a.requireKey(mux)
}

// requireKey answers 401 to requests without the operators' key, if one is configured.
func (a *Admin) requireKey(next http.Handler) http.Handler {
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

// writeJSON answers 200 with a JSON body.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (a *Admin) show(w http.ResponseWriter, r *http.Request) {
	shown, err := a.daemon.Show(r.URL.Query().Get("at"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, shown)
}

func (a *Admin) tree(w http.ResponseWriter, _ *http.Request) {
	tree, err := a.daemon.Tree()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, tree)
}

func (a *Admin) submit(w http.ResponseWriter, r *http.Request) {
	var change setts.Change
	client := conns.ClientOf(r.Context())
	decoder := json.NewDecoder(client.Reader(io.LimitReader(r.Body, maxBodyBytes)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil || change.ID == "" || change.Path == "" {
		http.Error(w, "not a change of settings", http.StatusBadRequest)
		return
	}
	client.SetStage(conns.Serving)
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	accepted, err := a.daemon.Submit(ctx, change)
	if err != nil {
		http.Error(w, err.Error(), submitErrorStatus(err))
		return
	}
	writeJSON(w, accepted)
}

// submitErrorStatus returns the HTTP status for an error of Submit. 504 means that the change
// may have been accepted.
func submitErrorStatus(err error) int {
	var conflict *setts.ConflictError
	var invalid *setts.CheckError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.As(err, &invalid):
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
	writeJSON(w, changes)
}

func (a *Admin) inForce(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a number", http.StatusBadRequest)
		return
	}
	writeJSON(w, a.daemon.InForce(r.Context(), model.Revision(revision)))
}

func (a *Admin) burn(w http.ResponseWriter, r *http.Request) {
	report, err := a.daemon.Burn(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}
