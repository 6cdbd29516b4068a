// Package transport connects a view of the package gossip with a machine: its datagrams, clock and log. It makes no decisions.
package transport

import (
	"context"
	"fmt"
	"log/slog"

	"starlingwinch/internal/gossip"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/structuredlog"
)

// Transport runs a view on a machine. All calls are made in the machine's loop.
type Transport struct {
	machine   machine.Machine
	logger    *slog.Logger
	view      *gossip.View
	conn      machine.PacketConn
	timer     machine.Timer // of the view's Wake; nil before the first one
	onChanged func()        // may be nil
	closed    bool
}

// Start listens at an address and joins the other routers. The caller sets the configuration but for Start, Boot and Seed,
// which come from the machine. onChanged is called after the view has changed, and may be nil. An error of the address is
// wrapped: machine's errors are found by errors.Is.
func Start(m machine.Machine, listen string, cfg gossip.Config, onChanged func()) (*Transport, error) {
	cfg.Start, cfg.Boot, cfg.Seed = uint64(max(1, m.Wall()/1000)), uint32(m.Entropy()), m.Entropy()
	view, err := gossip.New(cfg)
	if err != nil {
		return nil, err
	}
	t := &Transport{machine: m, logger: structuredlog.New(m), view: view, onChanged: onChanged}
	if t.conn, err = m.ListenPacket(listen, t.onDatagram); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	m.At(m.Now(), t.onTimer)
	return t, nil
}

func (t *Transport) onDatagram(from string, data []byte) {
	if !t.closed {
		t.handle(&gossip.DatagramReceived{From: from, Data: data})
	}
}

func (t *Transport) onTimer() {
	if !t.closed {
		t.handle(&gossip.Tick{})
	}
}

// handle passes an event to the view and carries out its actions in order. onChanged comes last, as it may call the transport.
func (t *Transport) handle(event gossip.Event) {
	changed := false
	for _, action := range t.view.Handle(t.machine.Now(), event) {
		switch action := action.(type) {
		case gossip.Send:
			t.conn.Send(action.To, action.Data) // one that the machine does not take is as one lost on its way
		case gossip.Wake:
			t.setTimer(action.At)
		case gossip.Changed:
			changed = true
		case gossip.Log:
			t.logger.LogAttrs(context.Background(), action.Level, action.Message, action.Attrs...)
		}
	}
	if changed && t.onChanged != nil {
		t.onChanged()
	}
}

func (t *Transport) setTimer(at gossip.Time) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = t.machine.At(at, t.onTimer)
}

// UpdateInfo changes what this router announces of itself.
func (t *Transport) UpdateInfo(info gossip.Info) { t.handle(&gossip.UpdateInfo{Info: info}) }

// Peers replaces the configured addresses.
func (t *Transport) Peers(addrs []string) { t.handle(&gossip.Peers{Peers: addrs}) }

// Leave announces that this router drains.
func (t *Transport) Leave() { t.handle(&gossip.Leave{}) }

// Close announces that this router ends, and closes the address. Calls after the first do nothing.
func (t *Transport) Close() {
	if t.closed {
		return
	}
	t.handle(&gossip.Leave{Gone: true})
	t.closed = true
	if t.timer != nil {
		t.timer.Stop()
	}
	t.conn.Close()
}

// View returns the view, which the caller only reads.
func (t *Transport) View() *gossip.View { return t.view }

// Addr returns the address that the transport listens at.
func (t *Transport) Addr() string { return t.conn.Addr() }
