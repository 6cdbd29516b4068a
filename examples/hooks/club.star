# Tags confirmations that come from a club's shared station, and counts them as the club's. The router's counts show how many
# there were: hook club, tag club.

version = 1

# The tenants that log from a shared station, with the club that each belongs to.
stations = {
    "shack-1": "club-rajkot",
    "shack-2": "club-rajkot",
    "fieldday": "club-surat",
}

def on_request(r):
    club = stations.get(r.tenant)
    if club and r.request_class == "confirm-contact":
        tag("club")
        tenant(club)
