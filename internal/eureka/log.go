package eureka

import "fmt"

const maxLoggedHash = 80 // characters of a hash code

func (c *Client) logPasswordUnreadable(err error) {
	c.logger.Warn("registry password unreadable", "source", c.options.Name, "cause", err)
}

func (c *Client) logDeltasRejected(s *server, status int) {
	c.logger.Info("registry rejects deltas", "source", c.options.Name, "server", s.url.String(), "status", status)
}

func (c *Client) logDeltasInconsistent(s *server, list *List, isOlder bool) {
	if isOlder {
		c.logger.Warn("registry deltas are older than the list", "source", c.options.Name, "server", s.url.String())
		return
	}
	c.logger.Warn("registry deltas do not match hash code", "source", c.options.Name, "server", s.url.String(),
		"hash", truncated(list.Hash, maxLoggedHash), "computed", truncated(c.table.hash(), maxLoggedHash))
}

func (c *Client) logListFaults(s *server, faults string) {
	c.logger.Warn("registry list has faults", "source", c.options.Name, "server", s.url.String(), "faults", faults)
}

func (c *Client) logServerSelected(s *server) {
	c.logger.Info("registry server selected", "source", c.options.Name, "server", s.url.String())
}

func (c *Client) logAvailable(s *server) {
	c.logger.Info("registry available", "source", c.options.Name, "server", s.url.String())
}

func (c *Client) logCallFailed(s *server, err error) {
	c.logger.Warn("registry call failed", "source", c.options.Name, "server", s.url.String(), "cause", err)
}

// truncated returns the first characters of a text.
func truncated(text string, maxLength int) string { return fmt.Sprintf("%.*s", maxLength, text) }
