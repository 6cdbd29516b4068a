# Fails requests whose key is not a callsign. A callsign has 3 to 12 letters and digits with at least one of each, and optional
# parts before and after it that are separated by slashes (OE1XYZ, K2A, F/OE1XYZ/P). For installations whose keys are callsigns.

version = 1

def is_callsign(text):
    if len(text) > 24:
        return False
    for part in text.upper().split("/"):
        if part.strip("ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789") != "":
            return False
        if 3 <= len(part) and len(part) <= 12 and not part.isalpha() and not part.isdigit():
            return True
    return False

def on_request(r):
    if not is_callsign(r.key):
        return fail("not a callsign")
