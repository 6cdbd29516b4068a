package registry

import (
	"bytes"
	"compress/gzip"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"starlingwinch/internal/testbench/httpserver"
)

// jsonHeader is the header of answers with a body.
var jsonHeader = []httpserver.Header{{Name: "Content-Type", Value: "application/json"}}

// call is a request with its path split.
type call struct {
	exchange   *httpserver.Exchange
	method     string
	path       []string // segments below the base
	query      url.Values
	replicated bool // another replica has sent it, which replicates it itself
}

// serve is the handler of the HTTP server. It answers a request, with the faults that are on.
func (r *Registry) serve(x *httpserver.Exchange) {
	if r.faults.silent {
		return
	}
	if status := r.faults.status; status != 0 {
		r.answer(x, httpserver.Text(status, "the registry is told to fail"))
		return
	}
	r.answer(x, r.reply(x))
}

// reply returns the answer to a request.
func (r *Registry) reply(x *httpserver.Exchange) httpserver.Answer {
	if !r.allowed(x.Request) {
		a := httpserver.Text(http.StatusUnauthorized, "user and password are wanted")
		a.Header = append(a.Header, httpserver.Header{Name: "WWW-Authenticate", Value: `Basic realm="eureka"`})
		return a
	}
	c := call{exchange: x, method: x.Request.Method,
		replicated: strings.EqualFold(x.Request.Header.Get("x-netflix-discovery-replication"), "true")}
	var err error
	if c.query, err = url.ParseQuery(x.Request.URL.RawQuery); err != nil {
		return httpserver.Text(http.StatusBadRequest, "the query can't be read")
	}
	rest, ok := strings.CutPrefix(x.Request.URL.EscapedPath(), r.options.Base)
	if r.options.Base == "/" {
		rest, ok = x.Request.URL.EscapedPath(), true
	}
	if !ok || !strings.HasPrefix(rest, "/") {
		return notFound("nothing is here but " + r.options.Base)
	}
	for _, part := range strings.Split(strings.Trim(rest, "/"), "/") {
		if part, err = url.PathUnescape(part); err != nil {
			return httpserver.Text(http.StatusBadRequest, "the path can't be read")
		}
		c.path = append(c.path, part)
	}
	return r.route(c)
}

// allowed reports whether a request has the user and the password that are wanted, if any.
func (r *Registry) allowed(q *http.Request) bool {
	if r.options.User == "" && r.options.Password == "" {
		return true
	}
	want := "Basic " + base64.StdEncoding.EncodeToString([]byte(r.options.User+":"+r.options.Password))
	return subtle.ConstantTimeCompare([]byte(q.Header.Get("Authorization")), []byte(want)) == 1
}

// route calls the handler of a path and method.
func (r *Registry) route(c call) httpserver.Answer {
	reads := c.method == http.MethodGet || c.method == http.MethodHead
	n := len(c.path)
	if c.path[0] != "apps" {
		switch {
		case n != 2 || !slices.Contains([]string{"instances", "vips", "svips"}, c.path[0]):
			return notFound("no such resource")
		case !reads:
			return notAllowed("GET, HEAD")
		}
		return r.getByAddress(c)
	}
	switch {
	case n == 1 && reads, n == 2 && reads && c.path[1] == "delta":
		return r.getApplications(c, n == 2)
	case n == 1 || n == 2 && c.path[1] == "delta":
		return notAllowed("GET, HEAD")
	case n == 2 && reads:
		return r.getApp(c)
	case n == 2 && c.method == http.MethodPost:
		return r.post(c)
	case n == 2:
		return notAllowed("GET, HEAD, POST")
	case n == 3 && reads:
		return r.getOne(c, func(in *Instance) bool { return in.App == strings.ToUpper(c.path[1]) && in.ID == c.path[2] })
	case n == 3 && c.method == http.MethodPut:
		return r.putLease(c)
	case n == 3 && c.method == http.MethodDelete:
		if !r.cancel(strings.ToUpper(c.path[1]), c.path[2], c.replicated) {
			return notFound(ErrUnknownInstance.Error())
		}
		return httpserver.Answer{Status: http.StatusOK}
	case n == 3:
		return notAllowed("GET, HEAD, PUT, DELETE")
	case n == 4 && c.path[3] == "status":
		return r.status(c)
	case n == 4 && c.path[3] == "metadata" && c.method == http.MethodPut:
		return r.putMetadata(c)
	case n == 4 && c.path[3] == "metadata":
		return notAllowed("PUT")
	}
	return notFound("no such resource")
}

// notFound returns an answer with status 404.
func notFound(text string) httpserver.Answer { return httpserver.Text(http.StatusNotFound, text) }

// notAllowed returns an answer with status 405 that names the allowed methods.
func notAllowed(methods string) httpserver.Answer {
	a := httpserver.Text(http.StatusMethodNotAllowed, "only "+methods+" here")
	a.Header = append(a.Header, httpserver.Header{Name: "Allow", Value: methods})
	return a
}

// failed returns the answer for an error.
func failed(err error) httpserver.Answer {
	switch {
	case errors.Is(err, ErrUnknownInstance):
		return notFound(err.Error())
	case errors.Is(err, ErrRegistryFull):
		return httpserver.Text(http.StatusServiceUnavailable, err.Error())
	}
	return httpserver.Text(http.StatusBadRequest, err.Error())
}

// post registers an instance.
func (r *Registry) post(c call) httpserver.Answer {
	h := c.exchange.Request.Header
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if h.Get("Content-Type") != "" && (err != nil || kind != "application/json" && !strings.HasSuffix(kind, "+json")) {
		return httpserver.Text(http.StatusUnsupportedMediaType, "only application/json is read here, no XML")
	}
	if coding := h.Get("Content-Encoding"); coding != "" && !strings.EqualFold(coding, "identity") {
		return httpserver.Text(http.StatusUnsupportedMediaType, "a body with a content coding is not read here")
	}
	in, err := readInstance(c.exchange.Body)
	if err != nil {
		return failed(err)
	}
	if app := strings.ToUpper(c.path[1]); in.App != app {
		return failed(fmt.Errorf("instance.app: is %.80q, the path has %.80q", in.App, app))
	}
	if in.LastDirty == 0 {
		in.LastDirty = r.wallMillis()
	}
	if err := r.register(in, c.replicated); err != nil {
		return failed(err)
	}
	return httpserver.Answer{Status: http.StatusNoContent}
}

// dirty returns when the instance changed last as the caller says, 0 where it does not say, and whether that is valid.
func (c *call) dirty() (int64, bool) {
	text := c.query.Get("lastDirtyTimestamp")
	if text == "" {
		return 0, true
	}
	v, err := strconv.ParseInt(text, 10, 64)
	return v, err == nil && v >= 0
}

// putLease renews a lease.
func (r *Registry) putLease(c call) httpserver.Answer {
	app, id := strings.ToUpper(c.path[1]), c.path[2]
	dirty, ok := c.dirty()
	if !ok {
		return httpserver.Text(http.StatusBadRequest, "lastDirtyTimestamp: not a time in ms")
	}
	if !r.renew(app, id, c.replicated) {
		return notFound(ErrUnknownInstance.Error())
	}
	l := r.lease(app, id)
	if dirty > l.LastDirty {
		return notFound("the instance has changed since it registered")
	}
	return httpserver.Answer{Status: http.StatusOK}
}

// status sets or removes an override.
func (r *Registry) status(c call) httpserver.Answer {
	app, id := strings.ToUpper(c.path[1]), c.path[2]
	value := strings.ToUpper(c.query.Get("value"))
	dirty, ok := c.dirty()
	if !ok {
		return httpserver.Text(http.StatusBadRequest, "lastDirtyTimestamp: not a time in ms")
	}
	var err error
	switch c.method {
	case http.MethodPut:
		err = r.setOverride(app, id, value, dirty, c.replicated)
	case http.MethodDelete:
		if value == "" {
			value = Unknown
		}
		err = r.endOverride(app, id, value, dirty, c.replicated)
	default:
		return notAllowed("PUT, DELETE")
	}
	if err != nil {
		return failed(err)
	}
	return httpserver.Answer{Status: http.StatusOK}
}

// putMetadata adds the values of the query to an instance's metadata.
func (r *Registry) putMetadata(c call) httpserver.Answer {
	l := r.lease(strings.ToUpper(c.path[1]), c.path[2])
	if l == nil {
		return notFound(ErrUnknownInstance.Error())
	}
	in := *l.Instance
	in.Metadata = map[string]string{}
	for name, value := range l.Metadata { // any order: a map is copied
		in.Metadata[name] = value
	}
	for name, values := range c.query { // any order: names differ
		in.Metadata[name] = values[0]
	}
	if err := r.register(in, c.replicated); err != nil {
		return failed(err)
	}
	return httpserver.Answer{Status: http.StatusOK}
}

// getApplications answers with all applications, or with the recent changes.
func (r *Registry) getApplications(c call, delta bool) httpserver.Answer {
	v, key := r.visibleView(), "apps"
	if delta {
		key = "delta"
		if r.faults.oldDelta != nil {
			v = r.faults.oldDelta
		}
	}
	if _, ok := v.bodies[key]; !ok {
		v.bodies[key] = rendered{plain: r.list(v, delta)}
	}
	return r.document(c, v, key)
}

// list returns the body of the whole list or of a delta.
func (r *Registry) list(v *view, delta bool) []byte {
	hash, version, items := hashOf(v.all), int64(1), v.all
	if r.faults.wrongHash {
		hash += "WRONG_1_"
	}
	if delta {
		r.deltasMade++
		version, items = r.deltasMade, v.delta
		if r.faults.repeatDelta {
			items = append(slices.Clone(items), items...)
		}
	}
	return r.applications(items, version, hash)
}

// getApp answers with one application.
func (r *Registry) getApp(c call) httpserver.Answer {
	name := strings.ToUpper(c.path[1])
	var items []item
	for _, i := range r.visibleView().all {
		if i.App == name {
			items = append(items, i)
		}
	}
	if len(items) == 0 {
		return notFound("no such application")
	}
	return r.uncachedDocument(c, encode(map[string]any{"application": r.app(name, items)}))
}

// getOne answers with the instance that matches.
func (r *Registry) getOne(c call, match func(*Instance) bool) httpserver.Answer {
	i, ok := r.visibleInstance(match)
	if !ok {
		return notFound(ErrUnknownInstance.Error())
	}
	return r.uncachedDocument(c, encode(map[string]any{"instance": i.Instance.wire(i.Lease, r.options.OldNames)}))
}

// getByAddress answers with the instance of an id, or with those of a virtual address.
func (r *Registry) getByAddress(c call) httpserver.Answer {
	name := c.path[1]
	if c.path[0] == "instances" {
		return r.getOne(c, func(in *Instance) bool { return in.ID == name })
	}
	var items []item
	for _, i := range r.visibleView().all {
		addresses := i.VIPAddress
		if c.path[0] == "svips" {
			addresses = i.SecureVIP
		}
		if slices.Contains(strings.Split(addresses, ","), name) {
			items = append(items, i)
		}
	}
	if len(items) == 0 {
		return notFound("no instance has that address")
	}
	return r.uncachedDocument(c, r.applications(items, 1, hashOf(items)))
}

// uncachedDocument answers with a body that is made for this call.
func (r *Registry) uncachedDocument(c call, plain []byte) httpserver.Answer {
	const key = "fresh"
	return r.document(c, &view{bodies: map[string]rendered{key: {plain: plain}}}, key)
}

// document answers with a body of a view, compressed where the client accepts that.
func (r *Registry) document(c call, v *view, key string) httpserver.Answer {
	h := c.exchange.Request.Header
	if !accepts(h.Values("Accept"), "application/json", true) {
		return httpserver.Text(http.StatusNotAcceptable, "only application/json is written here, no XML")
	}
	a := httpserver.Answer{Status: http.StatusOK, Header: slices.Clone(jsonHeader)}
	b := v.bodies[key]
	switch {
	case r.faults.malform:
		a.Body = malformed(b.plain)
	case !r.options.NoGzip && accepts(h.Values("Accept-Encoding"), "gzip", false):
		if b.packed == nil {
			b.packed = pack(b.plain)
			v.bodies[key] = b
		}
		a.Body = b.packed
		a.Header = append(a.Header, httpserver.Header{Name: "Content-Encoding", Value: "gzip"})
	default:
		a.Body = b.plain
	}
	return a
}

// malformed returns a document that is not JSON.
func malformed(b []byte) []byte { return append(bytes.Clone(b[:len(b)*2/3]), `,"}`...) }

// pack returns a document compressed by gzip.
func pack(plain []byte) []byte {
	var b bytes.Buffer
	z, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // the level is valid
	z.Write(plain)                                  // writing to memory does not fail
	z.Close()
	return b.Bytes()
}

// accepts reports whether a header of preferences (RFC 9110, 12.4.2) accepts a value. none is the result without such a
// header.
func accepts(lines []string, value string, none bool) bool {
	if len(lines) == 0 {
		return none
	}
	kind, _, _ := strings.Cut(value, "/")
	for _, part := range strings.Split(strings.Join(lines, ","), ",") {
		name, weight, _ := strings.Cut(part, ";")
		if !slices.Contains([]string{value, kind + "/*", "*/*", "*"}, strings.ToLower(strings.TrimSpace(name))) {
			continue
		}
		_, q, has := strings.Cut(strings.ReplaceAll(weight, " ", ""), "q=")
		if v, err := strconv.ParseFloat(q, 64); !has || err != nil || v > 0 {
			return true
		}
	}
	return false
}
