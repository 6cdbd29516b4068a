package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/routertest"
)

// TestThousandRoutersAndCaches starts a router with 1,024 other routers, all of them in its gossip view, and 1,024 caches,
// and checks that the router serves requests.
func TestThousandRoutersAndCaches(t *testing.T) {
	const size = 1024
	cache := routertest.NewCache(t)
	cache.Answering(t, func(string) bool { return true }, nil)
	discovery, calls := routertest.Discovery(t)
	var peers, lines []string
	for i := range size {
		lines = append(lines, routertest.Host(fmt.Sprintf("cache-%04d", i), cache.Addr(), "in_service"))
		peers = append(peers, fmt.Sprintf(`"127.1.%d.%d:9"`, i/250, i%250+1)) // no listener: datagrams to it are lost
	}
	own := fmt.Sprintf("127.2.0.1:%d", freePacketPort(t))
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1f","peer_listen":%q,"peers":[%q,%s],
 "limits":{"cores":1,"memory_mb":64,"sockets":1024},"known":%s,
 "settings":{"instances":%d,"me":0,"discovery":"subscribe","categories":[{"name":"read","effect":"read_like","dedupScope":"all",
  "aim":20000000,"hardLimit":20000000,"worth":1}],"limits":{"maxAttempts":3,"peerMessages":true,"cancel":true},"rules":{"drainGrace":1000000,"askEvery":600000000}}}`,
		discovery, own, own, strings.Join(peers, ","), routertest.Hosts(1, true, lines...), size+1)
	view := file(t, "fleet.toml", "kind = \"fleet\"\nenabled = true\nseeds = ["+strings.Join(peers, ",")+"]\n")
	platform := file(t, "config.json", config)
	if code, stdout, stderr := outcome(t, "check", platform, view); code != 0 {
		t.Fatalf("check: exit code %d\n%s%s", code, stdout, stderr)
	}
	cmd := command(t, "run", "--operator", view)
	cmd.Env = append(cmd.Env, configVariable+"="+platform)
	s := start(t, cmd)
	lines[0] = routertest.Host("cache-0000", cache.Addr(), "terminating")
	routertest.Receive(t, calls, "call").Reply <- routertest.Hosts(2, true, lines...)
	routertest.Receive(t, calls, "watch")
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(nc)
	for i := range 200 {
		fmt.Fprint(nc, routertest.Words("C.GET", fmt.Sprint("key", i), fmt.Sprint("r", i), "c=read,d=20000"))
		for _, want := range []string{"$5\r\n", "value\r\n"} {
			if line, err := r.ReadString('\n'); line != want {
				t.Fatalf("request %d: %q, %v", i, line, err)
			}
		}
	}
	s.end(t)
}

// freePacketPort returns a UDP port that was free at the time of the call.
func freePacketPort(t *testing.T) int {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.2.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).Port
}
