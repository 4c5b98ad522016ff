package front

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"bulrushpond.example/bulrushpond/internal/conns"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 255

// ParseIdempotencyKey parses an Idempotency-Key header: a quoted structured-field string
// as in the IETF draft, or the unquoted text that many callers send.
func ParseIdempotencyKey(header string) (string, error) {
	key := strings.TrimSpace(header)
	if strings.HasPrefix(key, `"`) {
		if len(key) < 2 || !strings.HasSuffix(key, `"`) {
			return "", errors.New(idempotencyKeyHeader + " has an open quote")
		}
		key = key[1 : len(key)-1]
	}
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return "", errors.New(idempotencyKeyHeader + " must hold 1 to 255 characters")
	}
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return "", errors.New(idempotencyKeyHeader + " must be printable ASCII")
		}
	}
	return key, nil
}

// isSafeMethod reports whether a method is safe (read-only), so that a call may be
// retried.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (f *Front) serveService(w http.ResponseWriter, r *http.Request) {
	c, failure := f.authenticate(r)
	if failure != nil {
		f.writeError(w, c, failure)
		return
	}
	request, failure := f.prepareServiceCall(w, r, c)
	if failure == nil {
		var stored rings.StoredAnswer
		if stored, failure = f.runServiceCall(r.Context(), request); failure == nil {
			conns.ClientOf(r.Context()).Keep(int64(len(stored.Body)))
			writeStoredResponse(w, stored)
		}
	}
	if failure != nil {
		f.writeError(w, c, failure)
	}
	f.observer.RequestEnded(c.team, failure)
}

// writeStoredResponse writes the response of a service call with the verdict ran.
func writeStoredResponse(w http.ResponseWriter, stored rings.StoredAnswer) {
	if stored.ContentType != "" {
		w.Header().Set("Content-Type", stored.ContentType)
	}
	w.Header().Set(verdictHeader, verdt.Ran.String())
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}

// runServiceCall sends a call with an idempotency key through the journal, and a call
// without one directly.
func (f *Front) runServiceCall(ctx context.Context, request drive.CallRequest) (rings.StoredAnswer, *verdt.Error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	var stored rings.StoredAnswer
	var err error
	if request.Key == "" {
		stored, err = f.calls.DoUnjournaled(ctx, request, isSafeMethod(request.Method))
	} else {
		stored, err = f.calls.Do(ctx, request)
	}
	if err != nil {
		return stored, verdt.AsError(err, verdt.MayHaveRun)
	}
	return stored, nil
}

// prepareServiceCall reads and validates a call to a plain service.
func (f *Front) prepareServiceCall(w http.ResponseWriter, r *http.Request, c caller) (drive.CallRequest, *verdt.Error) {
	request := drive.CallRequest{
		Team: c.team, Service: r.PathValue("service"), Method: r.Method, Path: servicePath(r.URL),
		ContentType: r.Header.Get("Content-Type"), Repeatable: c.policy.BackendTakesKeys,
	}
	if allowed := c.policy.AllowedServices; len(allowed) > 0 && !slices.Contains(allowed, request.Service) {
		return request, verdt.New(verdt.NotRun, verdt.Forbidden, "this team may not call service "+request.Service)
	}
	if !f.calls.HasService(request.Service) {
		return request, verdt.New(verdt.NotRun, verdt.UnknownService, "unknown service "+request.Service)
	}
	var failure *verdt.Error
	if request.Deadline, failure = c.deadline(r); failure != nil {
		return request, failure
	}
	request.KeyExpiresAt = request.Deadline.Add(c.policy.KeyRetention)
	if failure = setIdempotencyKey(&request, r, c); failure != nil {
		return request, failure
	}
	request.Body, failure = f.readBody(w, r, c)
	return request, failure
}

// servicePath returns the path after the service's name with the query. It stays
// percent-encoded, so that the service receives the path as the caller sent it.
func servicePath(u *url.URL) string {
	const prefixSegments = 4 // "", "v1", "services" and the name
	segments := strings.SplitN(u.EscapedPath(), "/", prefixSegments+1)
	path := "/"
	if len(segments) > prefixSegments {
		path += segments[prefixSegments]
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// setIdempotencyKey sets the request's idempotency key from the header. The header is
// ignored for safe methods, which need no key.
func setIdempotencyKey(request *drive.CallRequest, r *http.Request, c caller) *verdt.Error {
	if isSafeMethod(r.Method) {
		return nil
	}
	values := r.Header.Values(idempotencyKeyHeader)
	if len(values) == 0 {
		if c.policy.KeyRequired {
			return verdt.New(verdt.NotRun, verdt.KeyRequired, "this call needs an "+idempotencyKeyHeader+" header")
		}
		return nil
	}
	key, err := ParseIdempotencyKey(values[0])
	if err != nil || len(values) > 1 {
		return verdt.New(verdt.NotRun, verdt.BadRequest, idempotencyKeyHeader+" must be given once, with 1 to 255 printable characters")
	}
	request.Key = key
	return nil
}
