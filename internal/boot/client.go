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

// AdminFlags say which daemon a command talks to.
type AdminFlags struct {
	Admin    string `default:"127.0.0.1:7081" env:"BULRUSHPOND_ADMIN" help:"${help_admin}"`
	AdminKey string `env:"BULRUSHPOND_ADMIN_KEY" help:"${help_admin_key}"`
}

func (f AdminFlags) client() adminClient {
	return adminClient{base: "http://" + f.Admin, key: f.AdminKey}
}

// adminClient talks to a daemon's operators' side.
type adminClient struct{ base, key string }

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 64 << 20

func (c adminClient) call(ctx context.Context, method, path string, question, answer any) error {
	var body io.Reader
	if question != nil {
		raw, err := json.Marshal(question)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return lostAnswer(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return lostAnswer(method, err)
	}
	if resp.StatusCode != http.StatusOK {
		return withCode(codeOfStatus(resp.StatusCode), errors.New(strings.TrimSpace(string(raw))))
	}
	return json.Unmarshal(raw, answer)
}

// lostAnswer is the end of a call whose answer never came: a change may have
// been accepted all the same.
func lostAnswer(method string, err error) error {
	if method == http.MethodGet {
		return err
	}
	return withCode(ExitUnknown, fmt.Errorf("no answer, so the change may have been accepted; see 'settings history': %w", err))
}

func codeOfStatus(status int) int {
	switch status {
	case http.StatusBadRequest:
		return ExitUsage
	case http.StatusConflict:
		return ExitConflict
	case http.StatusGatewayTimeout:
		return ExitUnknown
	}
	return ExitFailed
}

func (c adminClient) show(ctx context.Context, path string) (s admin.Shown, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/settings?at="+url.QueryEscape(path), nil, &s)
	return s, err
}

func (c adminClient) tree(ctx context.Context) (t setts.Tree, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/settings/tree", nil, &t)
	return t, err
}

func (c adminClient) submit(ctx context.Context, change setts.Change) (accepted setts.Change, err error) {
	err = c.call(ctx, http.MethodPost, "/admin/settings", change, &accepted)
	return accepted, err
}

func (c adminClient) history(ctx context.Context) (changes []setts.Change, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/settings/history", nil, &changes)
	return changes, err
}

func (c adminClient) inForce(ctx context.Context, r model.Revision) (f admin.InForce, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/settings/in-force?revision="+strconv.FormatUint(uint64(r), 10), nil, &f)
	return f, err
}

func (c adminClient) status(ctx context.Context) (s admin.Status, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/status", nil, &s)
	return s, err
}

func (c adminClient) burn(ctx context.Context) (r burn.Report, err error) {
	err = c.call(ctx, http.MethodGet, "/admin/burn", nil, &r)
	return r, err
}
