package boot

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"bulrushpond.example/bulrushpond/internal/admin"
	"bulrushpond.example/bulrushpond/internal/burn"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// AdminFlags select the daemon whose admin API a command calls.
type AdminFlags struct {
	Admin    string `default:"127.0.0.1:7081" env:"BULRUSHPOND_ADMIN" help:"${help_admin}"`
	AdminKey string `env:"BULRUSHPOND_ADMIN_KEY" help:"${help_admin_key}"`
}

func (f AdminFlags) client() adminClient {
	return adminClient{baseURL: "http://" + f.Admin, key: f.AdminKey}
}

// adminClient calls the admin API of a daemon.
type adminClient struct{ baseURL, key string }

// maxResponseBytes limits how much of one response body is read.
const maxResponseBytes = 64 << 20

// call sends a request with an optional JSON body and decodes the JSON response.
func (c adminClient) call(ctx context.Context, method, path string, requestBody, responseBody any) error {
	var body io.Reader
	if requestBody != nil {
		raw, err := json.Marshal(requestBody)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return err
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return noResponseError(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return noResponseError(method, err)
	}
	if resp.StatusCode != http.StatusOK {
		return withExitCode(exitCodeOfStatus(resp.StatusCode), errors.New(strings.TrimSpace(string(raw))))
	}
	return json.Unmarshal(raw, responseBody)
}

// noResponseError wraps the error of a call that got no response. For methods other than
// GET the outcome is unknown: the change may have been accepted.
func noResponseError(method string, err error) error {
	if method == http.MethodGet {
		return err
	}
	return withExitCode(ExitOutcomeUnknown, fmt.Errorf("no response, so the change may have been accepted; check 'settings history': %w", err))
}

// exitCodeOfStatus returns the exit code for an HTTP status other than 200.
func exitCodeOfStatus(status int) int {
	switch status {
	case http.StatusBadRequest:
		return ExitUsage
	case http.StatusConflict:
		return ExitConflict
	case http.StatusGatewayTimeout:
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

func (c adminClient) show(ctx context.Context, path string) (shown admin.Shown, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/settings?at="+url.QueryEscape(path), nil, &shown)
	return shown, err
}

func (c adminClient) tree(ctx context.Context) (tree setts.Tree, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/settings/tree", nil, &tree)
	return tree, err
}

func (c adminClient) submit(ctx context.Context, change setts.Change) (accepted setts.Change, err error) {
	err = c.call(ctx, http.MethodPost, "/admin/settings", change, &accepted)
	return accepted, err
}

func (c adminClient) history(ctx context.Context) (changes []setts.Change, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/settings/history", nil, &changes)
	return changes, err
}

func (c adminClient) inForce(ctx context.Context, revision model.Revision) (inForce admin.InForce, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/settings/in-force?revision="+strconv.FormatUint(uint64(revision), 10), nil, &inForce)
	return inForce, err
}

func (c adminClient) status(ctx context.Context) (status admin.Status, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/status", nil, &status)
	return status, err
}

func (c adminClient) burn(ctx context.Context) (report burn.Report, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/burn", nil, &report)
	return report, err
}
