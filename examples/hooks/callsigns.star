# Refuses lookups and writes whose key is no callsign: 3 to 12 letters and digits, with a letter and a digit among them,
# and perhaps parts before or after a slash (OE1XYZ, K2A, F/OE1XYZ/P). For installations whose keys are callsigns.

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
