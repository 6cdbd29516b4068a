// Fails requests whose key is not a callsign, like callsigns.star, in a module of a few hundred bytes. Any compiler for
// WebAssembly can build the module:
//
//   clang --target=wasm32 -O2 -nostdlib -Wl,--no-entry -o callsigns.wasm callsigns/callsigns.c

#define EXPORT(name) __attribute__((export_name(name)))
#define IMPORT(name) __attribute__((import_module("starlingwinch"), import_name(name)))

typedef struct { const char *at; int length; } text;

// The arguments of a call. Addresses are 4 bytes in WebAssembly.
typedef struct {
    text verb, class, tenant, key, value;
    int size, outcome;
    long long time_left, took, now;
    int caches, take_work;
} call;

IMPORT("text") void set_text(const char *at, int length);

static char buffer[8192];

EXPORT("hook_version") int hook_version(void) { return 1; }

EXPORT("hook_room") void *hook_room(int size) { return size <= (int)sizeof buffer ? buffer : 0; }

static int is_callsign(text key) {
    int letters = 0, digits = 0, valid = 0;
    if (key.length > 24) return 0;
    for (int i = 0; i <= key.length; i++) {
        char c = i < key.length ? key.at[i] : '/';
        if (c >= '0' && c <= '9') {
            digits++;
        } else if ((c | 32) >= 'a' && (c | 32) <= 'z') {
            letters++;
        } else if (c == '/') {
            int length = letters + digits;
            if (letters && digits && length >= 3 && length <= 12) valid = 1;
            letters = digits = 0;
        } else {
            return 0;
        }
    }
    return valid;
}

EXPORT("on_request") int on_request(const call *c) {
    static const char why[] = "not a callsign";
    if (is_callsign(c->key)) return 0;
    set_text(why, sizeof why - 1);
    return 2;
}
