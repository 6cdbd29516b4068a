# The hook NAME. docs/operators/hooks.md tells what a hook is given and may say.

version = 1 # of the contract

# Asked about each request before the router decides anything. Gives back None to let it pass, refuse(wait_ms) or
# fail(text); may use tag(name), tenant(name) and log(text) before.
def on_request(r):
    # r.verb, r.request_class, r.tenant, r.key, r.size, r.time_left (µs), r.value (None unless wants_value), r.now (µs)
    if r.key == "":
        return refuse()

# def on_answered(r): r.outcome is "served", "refused" or "failed", r.took is in µs
# def on_list(r): r.caches, r.take_work
# def on_load():
# def on_unload():
