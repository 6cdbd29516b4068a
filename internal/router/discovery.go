package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
)

// hostList is an answer of discovery, checked.
type hostList struct {
	index   int64
	full    bool
	entries []decide.Entry
	addrs   []string // of the entries, in their order
}

// kind is what the module is to make of an answer.
func (h *hostList) kind() decide.ListKind {
	if h.full {
		return decide.ListFull
	}
	return decide.ListChanges
}

const (
	noIndex    = -1       // version of a list that was never seen
	mostHeader = 64 << 10 // ... of its header
	mostName   = 256      // bytes of a cache's name
)

var conditions = map[string]decide.Condition{"in_service": decide.Up, "terminating": decide.Draining,
	"terminated": decide.Removed}

// parseHosts reads a list in discovery's form and checks it whole: half of a bad
// list would be worse than the old one.
func parseHosts(raw []byte) (hostList, error) {
	var in struct {
		Index     *int64 `json:"index"`
		Snapshot  bool   `json:"snapshot"`
		Endpoints *[]struct {
			Name    string   `json:"name"`
			Address string   `json:"address"`
			Zone    string   `json:"zone"`
			Group   int      `json:"group"`
			Status  string   `json:"status"`
			Weight  *float64 `json:"weight"`
			SinceMS int64    `json:"since_ms"`
		} `json:"endpoints"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return hostList{}, fmt.Errorf("list of hosts: %w", err)
	}
	if in.Index == nil || *in.Index < 0 || in.Endpoints == nil {
		return hostList{}, errors.New("list of hosts: index and endpoints are needed")
	}
	h := hostList{index: *in.Index, full: in.Snapshot}
	seen := make(map[string]bool, len(*in.Endpoints))
	for i, e := range *in.Endpoints {
		at := func(field string) error { return fmt.Errorf("endpoints[%d].%s: bad value", i, field) }
		cond, ok := conditions[e.Status]
		switch {
		case e.Name == "" || len(e.Name) > mostName || seen[e.Name]:
			return hostList{}, at("name")
		case !ok:
			return hostList{}, at("status")
		case e.SinceMS < 0 || e.SinceMS > math.MaxInt64/1000:
			return hostList{}, at("since_ms")
		}
		if _, err := netip.ParseAddrPort(e.Address); err != nil && cond != decide.Removed {
			return hostList{}, at("address")
		}
		seen[e.Name] = true
		entry := decide.Entry{ID: e.Name, Zone: e.Zone, Cell: e.Group, Size: 1, Start: e.SinceMS * 1000, Condition: cond}
		if e.Weight != nil {
			if !(*e.Weight >= 0) || math.IsInf(*e.Weight, 0) {
				return hostList{}, at("weight")
			}
			entry.Size = *e.Weight
		}
		h.entries, h.addrs = append(h.entries, entry), append(h.addrs, e.Address)
	}
	return h, nil
}

// discovery calls the discovery service. One watch runs at a time.
type discovery struct {
	url    string
	bounds limits.Discovery
	client *http.Client
}

func newDiscovery(addr string, bounds limits.Discovery) *discovery {
	return &discovery{url: "http://" + addr + "/discovery/hosts", bounds: bounds, client: &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost:        1, // it counts against the router's descriptors
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        90 * time.Second,
			MaxResponseHeaderBytes: mostHeader,
			// A machine that has vanished must not hold the call for as long as a watch may take.
			DialContext: (&net.Dialer{Timeout: bounds.AnswerTime}).DialContext,
		},
		// A redirect would lead away from the address that was configured.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// watch passes on what changes after the given version, until a call fails; it
// returns why. The next call follows an answer at once: a pause would end the watch.
func (d *discovery) watch(ctx context.Context, after int64, told func(hostList)) error {
	for {
		h, err := d.call(ctx, after)
		if err != nil {
			return err
		}
		after = h.index
		told(h)
	}
}

func (d *discovery) call(ctx context.Context, after int64) (hostList, error) {
	url, wait := d.url, d.bounds.AnswerTime
	if after != noIndex {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, after, d.bounds.WatchTime.Milliseconds())
		wait += d.bounds.WatchTime
	}
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return hostList{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return hostList{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return hostList{}, fmt.Errorf("discovery answered %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.bounds.ListSize)+1))
	if err != nil {
		return hostList{}, err
	}
	if len(body) > int(d.bounds.ListSize) {
		return hostList{}, errors.New("discovery's answer is too long")
	}
	h, err := parseHosts(body)
	if err == nil && !h.full && (after == noIndex || h.index < after) {
		err = fmt.Errorf("changes up to version %d do not follow version %d", h.index, after)
	}
	return h, err
}
