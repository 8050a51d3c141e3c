package node

import (
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"otterstep/policy"
)

// requestFields are the fields of a client's request that the node itself reads, as the client wrote them. One that is missing is empty.
type requestFields struct {
	id, class, tenant, timeLeft, workHint, idempotencyKey string
}

// parseRequestFields returns the fields of a request. It returns a clientError if one is given twice or the id is missing.
func parseRequestFields(header http.Header) (fields requestFields, err error) {
	for _, field := range []struct {
		name  string
		value *string
	}{
		{"X-Correlation-Id", &fields.id}, {"X-Service-Class", &fields.class}, {"X-Account", &fields.tenant},
		{"X-Time-Left", &fields.timeLeft}, {"X-Weight-Hint", &fields.workHint}, {"Idempotency-Key", &fields.idempotencyKey},
	} {
		if len(header[field.name]) > 1 {
			return fields, badRequest("%s: given twice", field.name)
		}
		*field.value = header.Get(field.name)
	}
	if fields.id == "" {
		return fields, badRequest("X-Correlation-Id: missing")
	}
	return fields, nil
}

// parseRequest checks and converts all of a client's request but its body. It returns a clientError
// for an invalid request, or a refusal.
func (f *front) parseRequest(r *http.Request, receivedAt time.Duration) (policy.Request, *upstreamRequest, error) {
	var policyRequest policy.Request
	if len(r.TransferEncoding) > 0 {
		// The reader of a clientConn refuses such a request before net/http sees it.
		return policyRequest, nil, refusedTransferCoding
	}
	fields, err := parseRequestFields(r.Header)
	if err == nil {
		policyRequest, err = f.policyRequestOf(r, fields)
	}
	if err != nil {
		return policyRequest, nil, err
	}
	timeLeft, err := parseDuration("X-Time-Left", fields.timeLeft, time.Second)
	if err != nil {
		return policyRequest, nil, err
	}
	if fields.workHint != "" {
		if policyRequest.WorkHint, err = parseDuration("X-Weight-Hint", fields.workHint, time.Microsecond); err != nil {
			return policyRequest, nil, err
		}
	}
	class := f.settings.Policy.Classes[policyRequest.Class]
	if err := checkMethod(r, fields, class.Idempotency); err != nil {
		return policyRequest, nil, err
	}
	if r.ContentLength > maxBodyBytes {
		return policyRequest, nil, &clientError{http.StatusRequestEntityTooLarge, "body over 64 KiB"}
	}
	return policyRequest, newUpstreamRequest(r, receivedAt, timeLeft, class, policyRequest.WorkHint), nil
}

// policyRequestOf returns the class, the tenant and the key of a request. It returns a clientError for those that the settings don't
// have, and for a path of another class.
func (f *front) policyRequestOf(r *http.Request, fields requestFields) (policyRequest policy.Request, err error) {
	var ok bool
	if policyRequest.Class, ok = f.classIndex[fields.class]; !ok {
		return policyRequest, badRequest("X-Service-Class: unknown class %q", fields.class)
	}
	if policyRequest.Tenant, ok = f.tenantIndex[fields.tenant]; !ok && len(f.tenantIndex) > 0 {
		return policyRequest, badRequest("X-Account: unknown account %q", fields.tenant)
	}
	firstSegment, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if firstSegment != fields.class || !strings.HasPrefix(r.RequestURI, "/"+fields.class) {
		return policyRequest, badRequest("path %q is not of class %q", r.URL.Path, fields.class)
	}
	policyRequest.Key = pathKey(rest)
	return policyRequest, nil
}

// checkMethod returns a clientError unless the method, the idempotency key and the body of a request fit its class.
func checkMethod(r *http.Request, fields requestFields, idempotency policy.Idempotency) error {
	method := http.MethodPost
	if idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	switch {
	case r.Method != method:
		return &clientError{http.StatusMethodNotAllowed, "method does not fit class " + fields.class}
	case (idempotency == policy.IdempotentByKey) != (fields.idempotencyKey != ""):
		return badRequest("Idempotency-Key does not fit class %q", fields.class)
	case method == http.MethodGet && r.ContentLength != 0:
		return badRequest("a GET has no body here")
	}
	return nil
}

// newUpstreamRequest returns the request that the node forwards for one of a client, without its body.
func newUpstreamRequest(r *http.Request, receivedAt, timeLeft time.Duration, class policy.Class, workHint time.Duration) *upstreamRequest {
	outgoing := &upstreamRequest{
		method: r.Method, uri: r.RequestURI, host: r.Host,
		header: make(http.Header, len(forwardedHeaders)), clientDeadline: receivedAt + min(timeLeft, class.Deadline),
	}
	outgoing.valueUntil = outgoing.clientDeadline
	if target := class.LatencyTarget; target > 0 {
		target += time.Duration(class.TargetWorkFactor * float64(workHint))
		outgoing.valueUntil = min(outgoing.valueUntil, receivedAt+target)
	}
	for _, name := range forwardedHeaders {
		if values := r.Header[name]; len(values) > 0 {
			outgoing.header[name] = values
		}
	}
	return outgoing
}

// parseDuration parses the value of a header that is a decimal number of units. It returns a
// clientError for more than one hour, because no client waits that long.
func parseDuration(name, text string, unit time.Duration) (time.Duration, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= float64(time.Hour/unit)) {
		return 0, badRequest("%s: not a time: %q", name, text)
	}
	return time.Duration(value * float64(unit)), nil
}

// pathKey returns the hash of the last segment of a path without its class, or 0 if that is empty. A
// hash is never 0.
func pathKey(path string) uint64 {
	lastSegment := path[strings.LastIndexByte(path, '/')+1:]
	if lastSegment == "" {
		return 0
	}
	hash := fnv.New64a()
	io.WriteString(hash, lastSegment)
	return max(hash.Sum64(), 1)
}
