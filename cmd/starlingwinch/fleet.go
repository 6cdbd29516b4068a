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

const (
	viewWait  = 300 * time.Millisecond // for a page
	viewTries = 5                      // of each
	viewEvery = time.Second
)

func fleetCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Tell of the routers of a tier",
		Args:  knownWords,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	var s inputs
	var asJSON, watch bool
	view := &cobra.Command{
		Use:   "view ADDR|--config FILE [--json] [--watch]",
		Short: "Ask a running router which routers there are, and whether all see the same",
		Long: "Asks by datagrams, as an observer that never becomes a member, and prints each router that it knows. Exits 1 where\n" +
			"no whole answer came: the router is not there, or keeps no view.",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args)+b2i(s.config != "") != 1 {
				return usageError{cmd.CommandPath() + ": one ADDR or --config FILE is wanted; see " + cmd.CommandPath() + " --help"}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			addr, err := s.viewed(args)
			if err != nil {
				return err
			}
			show := printView
			if asJSON {
				show = printViewJSON
			}
			if !watch {
				v, err := askView(addr)
				if err != nil {
					return err
				}
				return show(cmd.OutOrStdout(), v)
			}
			return watchView(cmd.OutOrStdout(), cmd.ErrOrStderr(), addr, show)
		},
	}
	view.Flags().StringVar(&s.config, "config", "", "the platform's `FILE` of the router that is asked, for its peer_listen")
	view.Flags().BoolVar(&asJSON, "json", false, "one line of JSON for each view")
	view.Flags().BoolVar(&watch, "watch", false, "ask again each second until interrupted")
	cmd.AddCommand(view)
	return cmd
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// viewed is the address to ask.
func (s inputs) viewed(args []string) (string, error) {
	if len(args) == 1 {
		if _, err := netip.ParseAddrPort(args[0]); err != nil {
			return "", usageError{fmt.Sprintf("starlingwinch fleet view: %q is no address (wanted IP:PORT)", args[0])}
		}
		return args[0], nil
	}
	cfg, _, err := s.load()
	if err != nil {
		return "", err
	}
	if cfg.PeerListen == "" {
		return "", fmt.Errorf("%s: peer_listen: not there: no router can be asked by this file", s.config)
	}
	return cfg.PeerListen, nil
}

// view is a router's view as a whole.
type view struct {
	Router  string
	Settled bool
	For     gossip.Time
	Digest  uint64
	Members []gossip.Member // Since is an age
}

// askView asks a router for all pages of its view. Each page is asked for again where no answer comes: datagrams get
// lost. A view that changes meanwhile is read from its beginning again.
func askView(addr string) (*view, error) {
	conn, err := net.Dial("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("fleet view: %w", err)
	}
	defer conn.Close()
	v := &view{}
	nonce := uint32(time.Now().UnixNano())
	for tries := 0; tries < viewTries; {
		nonce++
		page, err := askPage(conn, len(v.Members), nonce)
		if err != nil {
			if tries++; tries == viewTries {
				return nil, fmt.Errorf("fleet view: no answer from %s within %s: %w", addr, viewTries*viewWait, err)
			}
			continue
		}
		if len(v.Members) > 0 && (page.Digest != v.Digest || page.Router != v.Router) {
			v, tries = &view{}, tries+1
			continue
		}
		v.Router, v.Settled, v.For, v.Digest = page.Router, page.Settled, page.For, page.Digest
		v.Members = append(v.Members, page.Members...)
		if len(v.Members) >= page.Of {
			return v, nil
		}
		if len(page.Members) == 0 {
			return nil, fmt.Errorf("fleet view: %s tells %d routers of %d", addr, len(v.Members), page.Of)
		}
	}
	return nil, fmt.Errorf("fleet view: the view of %s changes faster than it can be read", addr)
}

// askPage asks for one page and waits for it.
func askPage(conn net.Conn, first int, nonce uint32) (*gossip.Page, error) {
	if _, err := conn.Write(gossip.EncodeQuery(first, nonce)); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(viewWait)); err != nil {
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

// watchView shows views until it is interrupted.
func watchView(out, errs io.Writer, addr string, show func(io.Writer, *view) error) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	defer signal.Stop(stop)
	var last error
	for {
		v, err := askView(addr)
		if last = err; err != nil {
			fmt.Fprintln(errs, err)
		} else if err := show(out, v); err != nil {
			return err
		}
		select {
		case <-stop:
			return last
		case <-time.After(viewEvery):
		}
	}
}

func (v *view) words() string {
	state := "not settled"
	if v.Settled {
		state = "settled"
	}
	return fmt.Sprintf("%s: %s for %.1fs, digest %016x, %d routers", v.Router, state, float64(v.For)/1e6, v.Digest, len(v.Members))
}

func printView(out io.Writer, v *view) error {
	var text strings.Builder
	fmt.Fprintln(&text, v.words())
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

// jsonMember is a router as --json tells it.
type jsonMember struct {
	Router      string  `json:"router"`
	State       string  `json:"state"`
	SinceS      float64 `json:"since_s"`
	Incarnation uint64  `json:"incarnation"`
	List        uint64  `json:"list"`
	Content     string  `json:"content"`
	Config      string  `json:"config"`
	Build       string  `json:"build"`
}

func printViewJSON(out io.Writer, v *view) error {
	doc := struct {
		Router  string       `json:"router"`
		Settled bool         `json:"settled"`
		ForS    float64      `json:"for_s"`
		Digest  string       `json:"digest"`
		Routers []jsonMember `json:"routers"`
	}{v.Router, v.Settled, float64(v.For) / 1e6, fmt.Sprintf("%016x", v.Digest), make([]jsonMember, 0, len(v.Members))}
	for _, m := range v.Members {
		doc.Routers = append(doc.Routers, jsonMember{m.Name, m.State.String(), float64(m.Since) / 1e6, m.Incarnation, m.Info.List,
			fmt.Sprintf("%08x", m.Info.Digest), fmt.Sprintf("%08x", m.Info.Config), fmt.Sprintf("%08x", m.Info.Build)})
	}
	return json.NewEncoder(out).Encode(doc)
}
