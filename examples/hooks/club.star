# Tags confirmations from a club's shared station and attributes them to the club's tenant. The router counts them under the
# hook club and the tag club.

version = 1

# The tenants of the shared stations, with the tenant of the club that each station belongs to.
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
