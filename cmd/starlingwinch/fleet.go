package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/gossip"
)

// Timeout, number of tries and interval of the queries for a view.
const (
	viewPageTimeout = 300 * time.Millisecond // for the answer with one page of the view
	maxViewTries    = 5                      // queries of each page
	viewInterval    = time.Second
)

// fleetCommand returns the command "fleet", which prints a router's view of the cluster.
func fleetCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Show the routers of a fleet",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	var s inputs
	var asJSON, watch bool
	view := &cobra.Command{
		Use:   "view ADDR|--config FILE [--json] [--watch]",
		Short: "Print the fleet's routers as one router sees them, and whether all routers agree",
		Long: "Queries a running router by datagrams, without becoming a member, and prints each router that it knows. Exits 1 if\n" +
			"there is no complete answer: the router is not running, or it has no view.",
		Args: func(cmd *cobra.Command, args []string) error {
			hasAddress, hasConfig := len(args) == 1, s.config != ""
			if len(args) > 1 || hasAddress == hasConfig {
				return usageError{cmd.CommandPath() + ": one ADDR or --config FILE is required; see " + cmd.CommandPath() + " --help"}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			addr, err := s.viewAddress(args)
			if err != nil {
				return err
			}
			show := printView
			if asJSON {
				show = printViewJSON
			}
			if !watch {
				v, err := queryView(addr)
				if err != nil {
					return err
				}
				return show(cmd.OutOrStdout(), v)
			}
			return watchView(cmd.OutOrStdout(), cmd.ErrOrStderr(), addr, show)
		},
	}
	view.Flags().StringVar(&s.config, "config", "", "the platform's `FILE` of the router; its peer_listen is queried")
	view.Flags().BoolVar(&asJSON, "json", false, "print each view as one line of JSON")
	view.Flags().BoolVar(&watch, "watch", false, "query the router each second until interrupted")
	cmd.AddCommand(view)
	return cmd
}

// viewAddress returns the gossip address to query: the argument, or peer_listen of the configuration.
func (s inputs) viewAddress(args []string) (string, error) {
	if len(args) == 1 {
		if _, err := netip.ParseAddrPort(args[0]); err != nil {
			return "", usageError{fmt.Sprintf("starlingwinch fleet view: %q is not an address (wanted IP:PORT)", args[0])}
		}
		return args[0], nil
	}
	cfg, _, err := s.load()
	if err != nil {
		return "", err
	}
	if cfg.PeerListen == "" {
		return "", fmt.Errorf("%s: peer_listen: missing: a router with this file can't be queried", s.config)
	}
	return cfg.PeerListen, nil
}

// view is a router's complete view of the cluster.
type view struct {
	Router  string
	Settled bool            // all routers have the same view
	For     gossip.Time     // duration since Settled last changed
	Digest  uint64          // of the view
	Members []gossip.Member // with the age of the state in Since
}

// queryView queries a router for all pages of its view. It queries a page again if there is no answer, because datagrams may be
// lost, and starts again at the first page if the view changes between two pages.
func queryView(addr string) (*view, error) {
	conn, err := net.Dial("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("fleet view: %w", err)
	}
	defer conn.Close()
	v := &view{}
	nonce := uint32(time.Now().UnixNano())
	for tries := 0; tries < maxViewTries; {
		nonce++
		page, err := queryPage(conn, len(v.Members), nonce)
		if err != nil {
			tries++
			if tries == maxViewTries {
				return nil, fmt.Errorf("fleet view: no answer from %s within %s: %w", addr, maxViewTries*viewPageTimeout, err)
			}
			continue
		}
		if len(v.Members) > 0 && (page.Digest != v.Digest || page.Router != v.Router) {
			v, tries = &view{}, tries+1
			continue
		}
		v.Router, v.Settled, v.For, v.Digest = page.Router, page.Settled, page.SettledFor, page.Digest
		v.Members = append(v.Members, page.Members...)
		if len(v.Members) >= page.Total {
			return v, nil
		}
		if len(page.Members) == 0 {
			return nil, fmt.Errorf("fleet view: %s sent %d of %d routers", addr, len(v.Members), page.Total)
		}
	}
	return nil, fmt.Errorf("fleet view: the view of %s changes faster than it can be read", addr)
}

// queryPage queries the page that begins at index first, and waits up to viewPageTimeout for the answer with this nonce.
func queryPage(conn net.Conn, first int, nonce uint32) (*gossip.Page, error) {
	if _, err := conn.Write(gossip.EncodeQuery(first, nonce)); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(viewPageTimeout)); err != nil {
		return nil, err
	}
	var b [gossip.MaxDatagramBytes + 1]byte
	for {
		n, err := conn.Read(b[:])
		if err != nil {
			return nil, err
		}
		if page, err := gossip.DecodePage(b[:n], nonce); err == nil && page.First == first {
			return page, nil
		}
	}
}

// watchView prints a view each viewInterval until it is interrupted. It returns the error of the last query.
func watchView(out, errs io.Writer, addr string, show func(io.Writer, *view) error) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	defer signal.Stop(stop)
	for {
		v, err := queryView(addr)
		if err != nil {
			fmt.Fprintln(errs, err)
		} else if err := show(out, v); err != nil {
			return err
		}
		select {
		case <-stop:
			return err
		case <-time.After(viewInterval):
		}
	}
}

// summary returns the state of the view and the number of its routers as one line.
func (v *view) summary() string {
	state := "not settled"
	if v.Settled {
		state = "settled"
	}
	return fmt.Sprintf("%s: %s for %.1fs, digest %016x, %d routers", v.Router, state, float64(v.For)/1e6, v.Digest, len(v.Members))
}

// printView prints a view as a summary and a table of its routers.
func printView(out io.Writer, v *view) error {
	var text strings.Builder
	fmt.Fprintln(&text, v.summary())
	w := tabwriter.NewWriter(&text, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTER\tSTATE\tSINCE\tINCARNATION\tLIST\tCONTENT\tCONFIG\tBUILD")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%.1fs\t%d\t%d\t%08x\t%08x\t%08x\n", m.Name, m.State, float64(m.Since)/1e6, m.Incarnation,
			m.Info.List, m.Info.Digest, m.Info.Config, m.Info.Build)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// memberDocument is the JSON form of a router in the output of --json.
type memberDocument struct {
	Router      string  `json:"router"`
	State       string  `json:"state"`
	SinceS      float64 `json:"since_s"`
	Incarnation uint64  `json:"incarnation"`
	List        uint64  `json:"list"`
	Content     string  `json:"content"`
	Config      string  `json:"config"`
	Build       string  `json:"build"`
}

// printViewJSON prints a view as one line of JSON.
func printViewJSON(out io.Writer, v *view) error {
	doc := struct {
		Router  string           `json:"router"`
		Settled bool             `json:"settled"`
		ForS    float64          `json:"for_s"`
		Digest  string           `json:"digest"`
		Routers []memberDocument `json:"routers"`
	}{v.Router, v.Settled, float64(v.For) / 1e6, fmt.Sprintf("%016x", v.Digest), make([]memberDocument, 0, len(v.Members))}
	for _, m := range v.Members {
		doc.Routers = append(doc.Routers, memberDocument{m.Name, m.State.String(), float64(m.Since) / 1e6, m.Incarnation, m.Info.List,
			fmt.Sprintf("%08x", m.Info.Digest), fmt.Sprintf("%08x", m.Info.Config), fmt.Sprintf("%08x", m.Info.Build)})
	}
	return json.NewEncoder(out).Encode(doc)
}
