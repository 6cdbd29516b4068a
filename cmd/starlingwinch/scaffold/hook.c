// The hook NAME. docs/operators/hooks.md tells what a hook is given and may say.
//
//   clang --target=wasm32 -O2 -nostdlib -Wl,--no-entry -o NAME.wasm NAME.c

#define EXPORT(name) __attribute__((export_name(name)))
#define IMPORT(name) __attribute__((import_module("starlingwinch"), import_name(name)))

typedef struct { const char *at; int length; } text;

// What a call is handed.
typedef struct {
    text verb, class, tenant, key;
    text value;               // at is 0 unless the operator set wants_value
    int size;                 // bytes of the value
    int outcome;              // on_answered: 0 served, 1 refused, 2 failed
    long long time_left;      // on_request: µs until the client stops waiting
    long long took;           // on_answered: µs
    long long now;            // µs on a clock that never steps, with any zero
    int caches, take_work;    // on_list
} call;

// Words of a verdict; a hook imports those that it uses.
IMPORT("log") void log_line(const char *at, int length);
IMPORT("tag") void tag(const char *at, int length);
IMPORT("tenant") void tenant(const char *at, int length);
IMPORT("text") void fail_text(const char *at, int length);
IMPORT("wait") void wait_ms(int ms);

enum { PASS, REFUSE, FAIL };

static char room[8192];

EXPORT("hook_version") int hook_version(void) { return 1; }

// Where a call may be written. The router asks again where one is longer (with a value, up to 70,000 bytes); 0 ends that call.
EXPORT("hook_room") void *hook_room(int size) { return size <= (int)sizeof room ? room : 0; }

// Asked about each request before the router decides anything.
EXPORT("on_request") int on_request(const call *c) {
    if (c->key.length == 0) {
        return REFUSE;
    }
    return PASS;
}
