package front

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// ParseKey reads an Idempotency-Key header: a structured string in quotes, as
// the IETF draft has it, or the bare text that many callers send.
func ParseKey(header string) (string, error) {
	key := strings.TrimSpace(header)
	if strings.HasPrefix(key, `"`) {
		if len(key) < 2 || !strings.HasSuffix(key, `"`) {
			return "", errors.New(keyHeader + " has an open quote")
		}
		key = key[1 : len(key)-1]
	}
	if key == "" || len(key) > maxKeyBytes {
		return "", errors.New(keyHeader + " must hold 1 to 255 characters")
	}
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return "", errors.New(keyHeader + " must be printable ASCII")
		}
	}
	return key, nil
}

// isSafe reports whether a method changes nothing, so that it may be repeated.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (f *Front) serveService(w http.ResponseWriter, r *http.Request) {
	c, failure := f.identify(r)
	if failure != nil {
		f.fail(w, c, failure)
		return
	}
	request, failure := f.prepareCall(w, r, c)
	if failure == nil {
		var answer rings.Stored
		if answer, failure = f.call(r.Context(), request); failure == nil {
			writeStored(w, answer)
		}
	}
	if failure != nil {
		f.fail(w, c, failure)
	}
	f.watch.Ended(c.team, failure)
}

func writeStored(w http.ResponseWriter, answer rings.Stored) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.Header().Set(verdictHeader, verdt.Ran.String())
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// call runs a call in the way that its method and key ask for.
func (f *Front) call(ctx context.Context, request drive.CallRequest) (rings.Stored, *verdt.Error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	var answer rings.Stored
	var err error
	if request.Key == "" {
		answer, err = f.calls.Direct(ctx, request, isSafe(request.Method))
	} else {
		answer, err = f.calls.Do(ctx, request)
	}
	if err != nil {
		return answer, verdt.Of(err, verdt.MayHaveRun)
	}
	return answer, nil
}

// prepareCall checks a call to a plain service.
func (f *Front) prepareCall(w http.ResponseWriter, r *http.Request, c caller) (drive.CallRequest, *verdt.Error) {
	request := drive.CallRequest{
		Team: c.team, Service: r.PathValue("service"), Method: r.Method, Path: pathBelow(r.URL),
		ContentType: r.Header.Get("Content-Type"), Repeatable: c.policy.BackendTakesKeys,
	}
	if allowed := c.policy.AllowedServices; len(allowed) > 0 && !slices.Contains(allowed, request.Service) {
		return request, verdt.New(verdt.NotRun, verdt.Forbidden, "this team may not call service "+request.Service)
	}
	if !f.calls.Known(request.Service) {
		return request, verdt.New(verdt.NotRun, verdt.UnknownService, "unknown service "+request.Service)
	}
	var failure *verdt.Error
	if request.Deadline, failure = c.deadline(r); failure != nil {
		return request, failure
	}
	request.Until = request.Deadline.Add(c.policy.KeyRetention)
	if failure = setKey(&request, r, c); failure != nil {
		return request, failure
	}
	request.Body, failure = f.readBody(w, r, c)
	return request, failure
}

// pathBelow returns what follows the service's name, still escaped, so that the
// service reads the same path as the caller wrote.
func pathBelow(u *url.URL) string {
	const partsBefore = 4 // "", "v1", "services" and the name
	parts := strings.SplitN(u.EscapedPath(), "/", partsBefore+1)
	path := "/"
	if len(parts) > partsBefore {
		path += parts[partsBefore]
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// setKey takes the idempotency key in. A safe call needs none and gets none.
func setKey(request *drive.CallRequest, r *http.Request, c caller) *verdt.Error {
	if isSafe(r.Method) {
		return nil
	}
	headers := r.Header.Values(keyHeader)
	if len(headers) == 0 {
		if c.policy.KeyRequired {
			return verdt.New(verdt.NotRun, verdt.KeyRequired, "this call needs an "+keyHeader+" header")
		}
		return nil
	}
	key, err := ParseKey(headers[0])
	if err != nil || len(headers) > 1 {
		return verdt.New(verdt.NotRun, verdt.BadRequest, keyHeader+" must be given once, with 1 to 255 printable characters")
	}
	request.Key = key
	return nil
}
