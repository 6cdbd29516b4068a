# Logs the rate of the busiest tenant once a minute. The hook only observes answers and returns no verdict.

version = 1

MINUTE = 60 * 1000 * 1000 # µs
MAX_TENANTS = 1000 # a hook must bound its own state

counts = {}
state = {"since": 0}

def on_answered(r):
    if r.tenant in counts or len(counts) < MAX_TENANTS:
        counts[r.tenant] = counts.get(r.tenant, 0) + 1
    if state["since"] == 0:
        state["since"] = r.now
    if r.now - state["since"] < MINUTE:
        return
    busiest, most = "", 0
    for name, n in counts.items():
        if n > most:
            busiest, most = name, n
    seconds = (r.now - state["since"]) / 1000000
    log("busiest tenant %s: %d answers in %d s (%d tenants)" % (busiest, most, int(seconds), len(counts)))
    counts.clear()
    state["since"] = r.now
